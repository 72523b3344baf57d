#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, cases 6 to 10. The programs of pollenlead are built by the
# deploy file's own build line.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-2/ ./review/standin2
