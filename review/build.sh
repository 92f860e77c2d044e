#!/usr/bin/env bash
# Builds the stand-ins of all scripted cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for folder in [1-5]; do
  [ -f "$folder/case.cpp" ] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -Istandin "$folder/case.cpp" -o "bin/case-$folder" -pthread
done
