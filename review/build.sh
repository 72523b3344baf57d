#!/usr/bin/env bash
# Builds the stand-in that the scripts of the review start. The program of the deploy file is built by its own line.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-standin ./review/standin
