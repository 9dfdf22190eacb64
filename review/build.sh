#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start, into review/.bin/.
set -euo pipefail
cd "$(dirname "$0")"
go build -o .bin/rig ./rig
