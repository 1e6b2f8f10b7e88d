#!/usr/bin/env bash
# Builds the stand-ins of the third review, with Go alone and without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/site ./review/standins-3/*.go
