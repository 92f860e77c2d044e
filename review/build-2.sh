#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/$(basename "$source" .cpp)" "$source"
done
