#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-in that the scripts of the cases 11 to 15 start. Run it after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/rig3"
go build -o ../../.bin/rig3 .
