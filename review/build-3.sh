#!/bin/sh
# Prepares what the scripts of review/11 to review/15 start, after the build of
# the deploy file. Their stand-ins are plain modules of Node.js, which need no
# build and no package.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  node --check "$file"
done
if [ ! -f target/rattanhill_entry.mjs ]; then
  echo "run the build of deploy/system.toml first" >&2
  exit 1
fi
