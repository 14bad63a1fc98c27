#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
go build -buildvcs=false -o bin/rig ./rig
