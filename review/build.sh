#!/bin/sh
# Builds what the scripts start besides the program of the deploy file. Their stand-ins are plain programs for
# Node.js 20 in review/lib without dependencies, so there is nothing to compile: this only checks them.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
echo 'the stand-ins are ready'
