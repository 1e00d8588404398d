#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review into target/review. Needs what the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=()
for source in review/standin-3/*.cpp; do
  name=$(basename "$source" .cpp)
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers "$source" -o "target/review/$name" -pthread &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
