#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin; needs nothing but the Go toolchain.
set -eu
cd "$(dirname "$0")"
go build -o bin/standin ./standin
