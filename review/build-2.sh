#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/rig2"
go build -o .bin/rig2 .
