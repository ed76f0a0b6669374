#!/bin/sh
# Builds what the scripts of review/4 to review/8 start beside the daemons. All
# their stand-ins are plain JavaScript in review/, so they are only checked.
set -e
cd "$(dirname "$0")"
for file in common-2/*.mjs [4-8]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
