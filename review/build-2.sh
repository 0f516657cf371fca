#!/bin/sh
# The stand-ins of the scripts in review/6 to review/10 are plain JavaScript in
# review/lib-2 and need no build. This checks that they can be loaded, and that
# the build of the deploy file has made the program that they start.
set -e
cd "$(dirname "$0")/.."
test -f target/rattanhill_entry.mjs
for file in review/lib-2/*.mjs; do node --check "$file"; done
for file in review/[0-9]*/case.mjs; do node --check "$file"; done
echo "nothing to build; all stand-ins can be loaded"
