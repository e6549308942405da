#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/6 and later start. They are
# plain modules in review/lib-2 that need no step of their own, so this only
# checks that they can be loaded. It needs no network.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/*/run.mjs; do
  node --check "$file"
done
