#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, in target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out/objects"
flags=(-std=c++20 -O1 -g -Wall -Wextra -I.)
objects=()
pids=()
compile() {
    "${CXX:-g++}" "${flags[@]}" -c "$1" -o "$2"
}
for source in standins/base64.cpp standins/event_loop.cpp standins/http_server.cpp \
    standins/platform_store.cpp review/harness/harness.cc review/harness/case_*.cc; do
    object="$out/objects/$(basename "${source%.*}").o"
    compile "$source" "$object" &
    pids+=($!)
    case "$source" in
    review/harness/case_*) ;;
    *) objects+=("$object") ;;
    esac
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/harness/case_*.cc; do
    name=$(basename "$source" .cc)
    "${CXX:-g++}" "$out/objects/$name.o" "${objects[@]}" -lPocoNet -lPocoFoundation -lpthread -o "$out/$name"
done
