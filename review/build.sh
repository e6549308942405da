#!/bin/sh
# Builds what the scripts of the cases start. The stand-ins are plain modules in
# review/lib and need no build; the programs come from the deploy file's build.
set -e
cd "$(dirname "$0")/.."
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
sh -c "$build"
