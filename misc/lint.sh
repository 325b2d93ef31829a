#!/usr/bin/env bash
# Checks format and lint of every source file except those that git ignores and generated code.
# Usage: misc/lint.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
jobs=${LAGOONDECK_JOBS:-$(nproc)}
git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' ':!proto' | sort -u | xargs clang-format --dry-run --Werror
echo "format: clean"

# Skips files that were clean before with the same text, project headers and rules: a clean file gets
# a stamp whose name is the hash of all three. The included headers come from the build's dependencies.
stamps=${LAGOONDECK_LINT_STAMPS:-$build/lint-stamps}
mkdir -p "$stamps"
top=$PWD
includes=$(mktemp)
trap 'rm -f "$includes"' EXIT
ninja -C "$build" -t deps | sed "s|^\( *\)\.\./\.\./|\1$top/|" \
    | awk -v top="$top/" '
        /^[^ ].*: #deps/ { file = ""; next }
        index($1, top) == 1 {
            name = substr($1, length(top) + 1)
            if (name ~ /^build\//) next
            if (file == "") file = name; else print file, name
        }' > "$includes"
export stamps includes build
git ls-files --cached --others --exclude-standard -- '*.cpp' ':!proto' ':!tests' | sort -u \
    | xargs -P "$jobs" -I{} bash -c '
        headers=$(awk -v file="{}" "\$1 == file { print \$2 }" "$includes" | sort -u)
        stamp="$stamps/$(cat "{}" .clang-tidy $headers | sha256sum | cut -c1-32)"
        [ -e "$stamp" ] || { clang-tidy --quiet -p "$build" "{}" 2> /dev/null && touch "$stamp"; }'
echo "lint: clean"
