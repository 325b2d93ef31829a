#!/usr/bin/env bash
# Checks format and lint of every source file that git tracks; generated code is left out.
# Usage: misc/lint.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
jobs=${LAGOONDECK_JOBS:-$(nproc)}
git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' ':!proto' | sort -u | xargs clang-format --dry-run --Werror
echo "format: clean"
# Files already linted with the same text, headers and rules are skipped by a stamp of their hash.
stamps="$build/lint-stamps"
mkdir -p "$stamps"
headers=$(git ls-files --cached --others --exclude-standard -- '*.h' .clang-tidy | sort -u | xargs cat | sha256sum | cut -c1-16)
export build stamps headers
git ls-files --cached --others --exclude-standard -- '*.cpp' ':!proto' ':!tests' | sort -u | xargs -P "$jobs" -I{} bash -c '
    stamp="$stamps/$(cat "{}" | sha256sum | cut -c1-24)-$headers"
    [ -e "$stamp" ] || { clang-tidy --quiet -p "$build" "{}" 2> /dev/null && touch "$stamp"; }'
echo "lint: clean"
