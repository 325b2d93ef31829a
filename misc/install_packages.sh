#!/usr/bin/env bash
# Installs those Debian packages of misc/packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t packages < misc/packages.txt
for tool in g++:g++ cmake:cmake clang-format:clang-format clang-tidy:clang-tidy; do
    command -v "${tool%%:*}" > /dev/null || packages+=("${tool##*:}")
done
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2> /dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    apt-get install -y -qq --no-install-recommends "${missing[@]}" > /dev/null
fi
