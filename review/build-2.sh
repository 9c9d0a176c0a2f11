#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs no network beyond the modules of go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/target/harness2 ./review/testdata/harness2
