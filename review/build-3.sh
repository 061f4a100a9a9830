#!/usr/bin/env bash
# Builds the stand-in of the third review, which is in no module of the workspace.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/standin-3 ./review/standin-3/*.go
