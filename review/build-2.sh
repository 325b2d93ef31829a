#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review-2/. Needs the
# packages of deploy/system.toml and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cc; do
    [ -f "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra "$source" -o "target/review-2/case-$name" -pthread &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
