#!/bin/sh
# Builds the stand-ins of review/scenario-2 into build-review-2/, without the tests of the project.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/scenario-2 -B build-review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build-review-2
