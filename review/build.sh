#!/bin/sh
# Builds what the scripts of this folder start, beside the instances of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release
cmake --build target/review -j3
