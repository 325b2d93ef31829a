#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build/review-3/. They need a C++20 compiler and
# nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -I. -pthread)
"${CXX:-g++}" "${flags[@]}" -c review/rig-3/rig.cc -o "$out/rig.o"
for source in review/1[1-5]/case.cc; do
    [ -e "$source" ] || continue
    name=case-$(basename "$(dirname "$source")")
    "${CXX:-g++}" "${flags[@]}" "$source" "$out/rig.o" -o "$out/$name"
done
