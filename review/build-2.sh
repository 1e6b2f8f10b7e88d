#!/bin/bash
# Builds the stand-ins of the second review, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/lab ./review/standins-2/*.go
