#!/usr/bin/env bash
# Runs the program of one case: run.sh FOLDER-OF-THE-CASE. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
case_folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$case_folder/../.." && pwd) || exit 2
program="$root/target/review-2/case-$(basename "$case_folder")"
[ -x "$program" ] || { echo "review/build-2.sh was not run" >&2; exit 2; }
scratch=$(mktemp -d) || exit 2
"$program" "$root" "$scratch" "$case_folder/record.txt"
result=$?
[ -z "${KEEP_LOGS:-}" ] || cp -r "$scratch" "$KEEP_LOGS"
rm -rf "$scratch"
case $result in
0 | 1) exit $result ;;
*) exit 2 ;;
esac
