#!/usr/bin/env bash
# Builds the stand-ins that the cases 11 and later start, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/rig3 ./rig3
