#!/usr/bin/env bash
# Prints which sources a build compiles, for the linker: the commit, with "-modified" if the tree differs from it outside of pages and records, or
# "sources-" and a digest of the Go files where git can't tell.
cd "$(dirname "$0")/.." || exit 1
if revision=$(git rev-parse HEAD 2>/dev/null) && changes=$(git status --porcelain -- . ':!docs' ':!journal' ':!review' 2>/dev/null); then
  echo "$revision${changes:+-modified}"
else
  echo "sources-$(find . -name target -prune -o -name '*.go' ! -name '*_test.go' ! -path './review/*' -print | LC_ALL=C sort | xargs sha256sum | sha256sum | cut -c 1-40)"
fi
