#!/bin/sh
# The stand-ins are plain Node.js modules without dependencies: nothing to build.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib/*.mjs review/*/run.mjs; do
  node --check "$file" || exit 1
done
