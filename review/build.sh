#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js: nothing is bundled, they are only
# checked. The programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [0-9]/*.mjs; do node --check "$file"; done
