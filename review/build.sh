#!/bin/sh
# The stand-ins are plain modules without dependencies, so nothing is compiled; this checks that each can be read.
set -eu
cd "$(dirname "$0")"
for file in standins/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
