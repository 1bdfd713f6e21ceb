#!/bin/bash
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file, whose library they use.
# Needs no network and no package beyond those of the deploy file.
set -e
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j8
