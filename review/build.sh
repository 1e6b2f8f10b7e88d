#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: store, runners and clients are in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/cases ./review/standin/*.go
