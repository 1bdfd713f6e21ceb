#!/usr/bin/env bash
# Builds the tests with the sanitizers and runs them.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-tests -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG=-g1 -DFINCHRUN_SANITIZE=ON >/dev/null
cmake --build build-tests -j"$(nproc)"
ctest --test-dir build-tests --output-on-failure -j"$(nproc)"
