#!/bin/sh
# The stand-ins of the cases are plain JavaScript for Node.js without dependencies: nothing to compile.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  [ -f "$file" ] && node --check "$file"
done
