#!/bin/sh
# Prepares the stand-ins of the scripts review/6 to review/9. They are plain
# Node.js without dependencies, so they are only checked; no stand-in of the
# project is used. The router itself comes from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs; do
  node --check "$file"
done
test -f target/router.cjs || echo "target/router.cjs is missing: run the build of deploy/system.toml first" >&2
