#!/bin/sh
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." && exec node "$here/run.mjs"
