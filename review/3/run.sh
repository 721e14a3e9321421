#!/bin/sh
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
exec timeout -s KILL 115 node run.mjs
