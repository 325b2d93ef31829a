#!/usr/bin/env bash
# Runs the whole system on loopback: stand-ins with the sizes of the Luzon site, six entry instances
# and a mixed load; during the load a catalogue change, a draining target, a new index version and a
# graceful stop. Usage: misc/demo.sh BUILD_DIR. Exits with 0 only if all checks pass.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
bin="$build/bin"
work="$build/demo"
site=luzon
policy=full
rm -rf "$work"
mkdir -p "$work"
source misc/cell.sh
trap stop_cell EXIT

problems=()
note() { echo "demo: $*"; }
check() { "${@:2}" || problems+=("$1"); }

start_standins
for number in 0 1 2 3 4 5; do start_entry "$number"; done
put_catalogue misc/settings/luzon_catalogue/*.json
for number in 0 1 2 3 4 5; do wait_entry_ready "$number"; done
note "6 entry instances are ready"

"$bin/lagoondeck-load" run misc/settings/luzon_load.json --instances "$instances" \
    --targets "$targets_control" --output "$work/result.json" > /dev/null 2> "$work/load.log" &
load=$!

sleep 3
note "changing the catalogue"
sed 's/"concurrency": 200/"concurrency": 150/' misc/settings/luzon_catalogue/reporting.json > "$work/reporting.json"
check "the catalogue change" put_catalogue "$work/reporting.json"
sleep 1
note "target fit-00-a drains"
control_targets '{"action":"leave","targets":["fit-00-a"]}'
control_instances '{"leaving":["fit-00-a"]}'
sleep 2
note "index version 2 of fit"
control_targets '{"action":"version","service":"fit","version":2,"shards":10,"spreadMs":1000,"retireAfterMs":2000}'
sleep 3
note "stopping entry-5 gracefully"
check "entry-5 stopped with an error" stop_entry 5
sleep 1
note "target fit-00-a is gone, and comes back cold"
control_targets '{"action":"crash","targets":["fit-00-a"],"downMs":500}'
sleep 1
control_instances '{"live":["fit-00-a"]}'

check "the load tool found something untrue" wait "$load"
[ -s "$work/result.json" ] || { cat "$work/load.log"; echo "demo: no result"; exit 1; }
grep -q '"receivedLongAfterLeaving": 0' "$work/result.json" || problems+=("a leaving target received new work")
for number in 0 1 2 3 4; do check "entry-$number stopped with an error" stop_entry "$number"; done
for problem in "${problems[@]}"; do note "PROBLEM: $problem"; done
"$bin/lagoondeck-load" line "$work/result.json" | sed 's/^/demo: /'
[ "${#problems[@]}" -eq 0 ]
