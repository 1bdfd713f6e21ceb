#!/usr/bin/env bash
# Builds the stand-ins and the cases, after the build of the deploy file. Needs only the declared packages.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p .build
for source in [0-9]*/case.cpp; do
  number=${source%%/*}
  g++ -std=c++20 -O1 -Wall -Wextra -I standins "$source" -o ".build/case$number" -pthread &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit "$status"
