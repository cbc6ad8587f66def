#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3. Needs the build of the
# deploy file, which puts the entry instance into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/scenario-3 -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-3
