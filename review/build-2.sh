#!/bin/sh
# Builds every stand-in that the scripts of this review start: they are Python sources without dependencies.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib2
