#!/bin/sh
# Installs the locked packages when they are missing or older than the lock file, compiles, and bundles the platform form.
set -eu
cd "$(dirname "$0")/.."
if [ ! -e node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
  npm ci --no-audit --no-fund
  touch node_modules/.package-lock.json
fi
npx tsc -p .
node scripts/bundle.mjs
