#!/bin/sh
# Builds what the scripts of this folder start, beside the instances of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review -j3

# Case 5 runs instances of an older build beside this one; without the history it can't run.
old=4541067
if [ ! -d target/old-source ]; then
    mkdir -p target/old-source
    git archive "$old" | tar -x -C target/old-source || rm -rf target/old-source
fi
if [ -f target/old-source/CMakeLists.txt ]; then
    cmake -S target/old-source -B target/old -G Ninja -DCMAKE_BUILD_TYPE=Release -DCHICORYHEAD_ENTRY_ONLY=ON
    cmake --build target/old -j3
fi
