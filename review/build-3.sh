#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 in build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
for source in review/1[1-5]/Case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -I . \
    -o "build-review-3/case-$number" "$source" review/lib-3/World.cpp
done
