#!/bin/sh
# The stand-ins are plain JavaScript without dependencies: nothing is compiled, each file is only checked for its syntax.
set -e
cd "$(dirname "$0")"
for file in stand-ins/*.mjs */run.mjs; do
  node --check "$file"
done
