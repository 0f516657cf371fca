#!/bin/sh
# The stand-ins and cases are plain scripts for Node.js without dependencies, so
# there is nothing to compile; this checks that each of them can be parsed.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
