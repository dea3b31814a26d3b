#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start. They are
# plain modules without dependencies, so that they are only checked.
cd "$(dirname "$0")/.." || exit 2
for file in review/standins-2/*.mjs review/[4-8]/*.mjs; do
  node --check "$file" || exit 1
done
