#!/usr/bin/env bash
# Builds the tests with the sanitizers and runs them. Each line of KNOWN-RED.txt, "test: cause, issue N", names a test
# that fails because of a known fault. These tests run first and their results are printed, but only the other tests
# decide the exit status. An entry that names no test, or a fourth entry, is an error.
set -euo pipefail
cd "$(dirname "$0")/.."
# The soak runs the controllers of the deploy file.
bash -c "$(sed -n 's/^build = "\(.*\)"/\1/p' deploy/service.toml)" >/dev/null
cmake -S . -B build-tests -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG=-g1 -DFINCHRUN_SANITIZE=ON >/dev/null
cmake --build build-tests -j"$(nproc)"
bash tests/known_red_test.sh
known_failures=$(bash tests/known_red.sh KNOWN-RED.txt <(ctest --test-dir build-tests -N))
if [ -n "$known_failures" ]; then
  echo "== known red"
  while IFS= read -r name; do
    if ctest --test-dir build-tests --output-on-failure -R "$name"; then
      echo "KNOWN-RED.txt lists a test that passes: $name"
    else
      echo "known red: $name"
    fi
  done < <(tr '|' '\n' <<<"$known_failures")
  echo "== all others"
  exec ctest --test-dir build-tests --output-on-failure -j"$(nproc)" -E "$known_failures"
fi
exec ctest --test-dir build-tests --output-on-failure -j"$(nproc)"
