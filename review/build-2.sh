#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases: plain modules for node without packages, so their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for module in stand-ins-2/*.mjs [4-8]/*.mjs; do
  node --check "$module"
done
