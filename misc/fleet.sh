#!/usr/bin/env bash
# Runs entry instances on loopback, kills, stops, freezes and replaces them while the catalogue
# changes, and measures how soon each change is in force on all of them and what control costs.
# Usage: misc/fleet.sh BUILD_DIR [SIZE...]    sizes are 6 8 60 when none is given
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${1:-build/release}/bin"
shift || true
sizes=("${@:-6}")
[ "$#" -gt 0 ] || sizes=(6 8 60)

readonly peerBase=21000 httpBase=22000 quietSeconds=10 spacing=0.4 changesPerPhase=8
readonly inForceBound=11
work=$(mktemp -d)
declare -A processes=()
exitCode=0

cleanUp() {
    for pid in "${processes[@]}"; do
        kill -CONT "$pid" 2> /dev/null || true
        kill -KILL "$pid" 2> /dev/null || true
    done
    rm -rf "$work"
}
trap cleanUp EXIT

say() { echo "fleet: $*"; }
now() { date +%s.%N; }

# Starts a program and keeps its id under a name; its output goes to a file of that name.
start() {
    local name=$1
    shift
    "$@" > "$work/$name.log" 2>&1 &
    processes[$name]=$!
    disown
}

# Waits until a file holds a line that matches, and prints the word after the first one.
wordFrom() {
    for _ in $(seq 100); do
        awk -v key="$2" '$1 == key { print $2; found = 1; exit } END { exit !found }' "$1" && return
        sleep 0.05
    done
    say "no line '$2' in $1"
    exit 1
}

control() { curl -sf -X POST -d "$2" "http://$1/v1/control" > /dev/null; }

# Chooses failure domains in turn, so that racks of three domains are alike.
startNode() {
    local number=$1 domain=$(($1 % 3))
    local id="entry-$number" peer="127.0.0.1:$((peerBase + number))" http="127.0.0.1:$((httpBase + number))"
    cat > "$work/$id.json" << SETTINGS
{"id": "$id", "failureDomain": "domain-$domain", "httpAddress": "$http", "peerAddress": "$peer",
 "storeAddress": "$storeAddress", "instanceListAddress": "$listAddress", "peerKey": "$peerKey",
 "callerThreads": 8, "seed": $((number + 1)), "expectedInstances": $size}
SETTINGS
    start "$id" "$bin/lagoondeckd" --settings "$work/$id.json"
    control "$listAddress" "{\"entries\":[{\"id\":\"$id\",\"peerAddress\":\"$peer\",
        \"httpAddress\":\"$http\",\"failureDomain\":\"domain-$domain\",\"state\":\"live\"}]}"
    echo "$id $(now) inf" >> "$work/lives"
}

# Notes that a node is not expected to follow any more.
endLife() {
    awk -v id="$1" -v at="$(now)" '$1 == id && $3 == "inf" { $3 = at } { print }' "$work/lives" \
        > "$work/lives.new"
    mv "$work/lives.new" "$work/lives"
}

removeNode() {
    control "$listAddress" "{\"remove\":[\"$1\"]}"
    unset "processes[$1]"
}

statusOf() { curl -sf -m 2 "http://127.0.0.1:$((httpBase + ${1#entry-}))/v1/status"; }

waitReady() {
    for _ in $(seq 300); do
        local ready=0
        for id in "$@"; do
            [ "$(statusOf "$id" | jq .ready)" = true ] && ready=$((ready + 1))
        done
        [ "$ready" -eq "$#" ] && return
        sleep 0.1
    done
    say "not all of $# nodes are ready"
    exit 1
}

# Puts one entry. Writes the time before the command, the revision and the command's exit code.
changeCatalogue() {
    local name="class-$((RANDOM % 20))" began code=0
    began=$(now)
    printf '{"name":"%s","owner":"fleet","class":"%s","service":"patterns","limits":{"ratePerSecond":%d,"concurrency":64}}' \
        "$name" "$name" $((100 + RANDOM % 900)) > "$work/entry.json"
    "$bin/lagoondeckctl" --store "$storeAddress" --instances "$listAddress" --json \
        catalogue put "$work/entry.json" > "$work/put.json" 2> "$work/put.err" || code=$?
    local revision
    revision=$(jq -r '.revision // 0' "$work/put.json" 2> /dev/null || echo 0)
    echo "$began ${revision:-0} $code $1" >> "$work/changes"
    return 0
}

changeSeveral() {
    for _ in $(seq "$changesPerPhase"); do
        changeCatalogue "$1"
        sleep "$spacing"
    done
}

# Processor ticks and resident kilobytes of a process.
ticksOf() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
memoryOf() { awk '$1 == "VmRSS:" { print $2 }' "/proc/$1/status"; }

# What control costs while nothing changes: processor, memory, bytes, store calls.
measureQuiet() {
    local -A ticks=()
    local id before after
    for id in "${live[@]}"; do
        ticks[$id]=$(ticksOf "${processes[$id]}")
        statusOf "$id" | jq -r '.control | [.peerBytesIn + .peerBytesOut, .storeReads] | @tsv' > "$work/$id.before"
    done
    before=$(now)
    sleep "$quietSeconds"
    for id in "${live[@]}"; do
        statusOf "$id" | jq -r '.control | [.peerBytesIn + .peerBytesOut, .storeReads, .storeWatchesOpen] | @tsv' > "$work/$id.after"
        after=$(now)
        echo "$id $(($(ticksOf "${processes[$id]}") - ticks[$id])) $(memoryOf "${processes[$id]}")" \
            "$(cat "$work/$id.before") $(cat "$work/$id.after") $(echo "$after - $before" | bc)"
    done > "$work/quiet"
    # Each open watch counts as one read a second.
    awk -v hertz="$(getconf CLK_TCK)" '{
        core = 100 * $2 / hertz / $9; kb = ($6 - $4) / 1000 / $9; mb = $3 / 1024
        worstCore = core > worstCore ? core : worstCore; worstKb = kb > worstKb ? kb : worstKb
        worstMb = mb > worstMb ? mb : worstMb; reads += ($7 - $5) / $9 + $8
    } END { printf "%.2f %.2f %.1f %.1f\n", worstKb, worstCore, worstMb, reads }' "$work/quiet"
}

# Joins the changes with the nodes' logs: for each accepted change and each node that lived from
# before it until the bound after it, when the change was in force there.
evaluate() {
    : > "$work/applied"
    for log in "$work"/entry-*.log; do
        awk -v id="$(basename "$log" .log)" -v day="$(date -d 'today 00:00' +%s)" '
            / event=200 / {
                split($2, clock, ":"); at = day + clock[1] * 3600 + clock[2] * 60 + clock[3]
                if (match($0, /revision=[0-9]+/)) {
                    print id, substr($0, RSTART + 9, RLENGTH - 9), at
                }
            }' OFMT='%.6f' CONVFMT='%.6f' "$log" >> "$work/applied"
    done
    awk -v bound="$inForceBound" '
        FILENAME ~ /lives$/ { from[$1] = $2; to[$1] = $3; next }
        FILENAME ~ /applied$/ {
            count[$1]++; revision[$1, count[$1]] = $2; at[$1, count[$1]] = $3
            if ($1 in last && $2 <= last[$1]) reverted++
            last[$1] = $2; next
        }
        $3 == 0 {
            worst = 0
            for (id in from) {
                if (from[id] > $1 - 5 || (to[id] != "inf" && to[id] < $1 + bound)) continue
                took = -1
                for (i = 1; i <= count[id]; i++) {
                    if (revision[id, i] >= $2) { took = at[id, i] - $1; break }
                }
                if (took < 0) { lacking++; print "lacking", id, $2 > "/dev/stderr"; continue }
                if (took > worst) worst = took
            }
            print 1000 * worst, $4
        }
        END { printf "total %d %d\n", reverted, lacking }' \
        "$work/lives" "$work/applied" "$work/changes" > "$work/evaluated"
}

median() { sort -n | awk '{ value[NR] = $1 } END { printf "%.0f", value[int((NR + 1) / 2)] }'; }

disturbNodes() {
    local killed=${live[0]} stopped=${live[1]} frozen=${live[2]}
    endLife "$killed"
    kill -KILL "${processes[$killed]}"
    removeNode "$killed"
    endLife "$stopped"
    kill -TERM "${processes[$stopped]}"
    endLife "$frozen"
    kill -STOP "${processes[$frozen]}"
    startNode "$next"
    startNode $((next + 1))
    changeSeveral disturbed
    kill -CONT "${processes[$frozen]}"
    echo "$frozen $(now) inf" >> "$work/lives"
    removeNode "$stopped"
    live=("${live[@]:2}" "entry-$next" "entry-$((next + 1))")
    next=$((next + 2))
    sleep 1
    changeSeveral replaced
}

runSize() {
    size=$1
    next=$size
    : > "$work/changes"
    : > "$work/lives"
    rm -f "$work"/entry-*
    start store "$bin/lagoondeck-standin" store --address 127.0.0.1:0 --control 127.0.0.1:0
    storeAddress=$(wordFrom "$work/store.log" serving)
    storeControl=$(wordFrom "$work/store.log" control)
    start targets "$bin/lagoondeck-standin" targets --topology misc/settings/luzon_topology.json
    start list "$bin/lagoondeck-standin" instances --topology misc/settings/luzon_topology.json --address 127.0.0.1:0
    listAddress=$(wordFrom "$work/list.log" serving)
    live=()
    for number in $(seq 0 $((size - 1))); do
        startNode "$number"
        live+=("entry-$number")
    done
    waitReady "${live[@]}"
    # The news of the start is told and connections are open.
    sleep "${FLEET_SETTLE:-10}"
    read -r quietKb quietCore quietMb quietReads <<< "$(measureQuiet)"
    [ -z "${FLEET_DEBUG:-}" ] || { cat "$work/quiet"; statusOf entry-0 | jq -c .control; for p in /proc/${processes[entry-0]}/task/*; do echo "$(cat $p/comm) $(cut -d' ' -f14,15 $p/stat)"; done | sort | awk '{u[$1]+=$2;s[$1]+=$3;n[$1]++} END{for(k in u)print k,n[k],u[k],s[k]}'; grep -h -v -e event=200 -e event=300 $work/entry-0.log; exit; }
    changeSeveral steady
    control "$storeControl" '{"lostReplies":0.5}'
    changeSeveral replies-lost
    control "$storeControl" '{"lostReplies":0}'
    control "$storeControl" '{"outage":true}'
    changeCatalogue store-down
    sleep 3
    control "$storeControl" '{"outage":false}'
    changeSeveral store-restarted
    disturbNodes
    sleep 3
    evaluate
    checkOperatorsTold
    report
    stopAll
}

# Every change of which the operator was told that it is in force has a place in the history, and
# none that was refused has one.
checkOperatorsTold() {
    "$bin/lagoondeckctl" --store "$storeAddress" --instances "$listAddress" --json catalogue history \
        > "$work/history.json"
    local head accepted uncertain
    head=$(jq -r .revision "$work/history.json")
    accepted=$(awk '$3 == 0' "$work/changes" | wc -l)
    uncertain=$(awk '$3 == 6' "$work/changes" | wc -l)
    if [ "$head" -lt "$accepted" ] || [ "$head" -gt $((accepted + uncertain)) ]; then
        say "operators were told of $accepted accepted and $uncertain uncertain changes, the head is $head"
        exitCode=1
    fi
    say "nodes $size changes $(wc -l < "$work/changes") accepted $accepted uncertain $uncertain refused" \
        "$(awk '$3 != 0 && $3 != 6' "$work/changes" | wc -l) head $head"
}

report() {
    local reverted lacking phase
    read -r _ reverted lacking <<< "$(grep ^total "$work/evaluated")"
    for phase in steady replies-lost store-restarted disturbed replaced; do
        say "nodes $size phase $phase worst-ms $(awk -v phase="$phase" '$2 == phase' "$work/evaluated" | sort -n | tail -1 | cut -d' ' -f1)"
    done
    [ "$reverted" -eq 0 ] && [ "$lacking" -eq 0 ] || exitCode=1
    lastLine="fleet: nodes $size in-force-median-ms $(grep -v ^total "$work/evaluated" | median)"
    lastLine+=" in-force-worst-ms $(grep -v ^total "$work/evaluated" | sort -n | tail -1 | awk '{ printf "%.0f", $1 }')"
    lastLine+=" reverted $reverted overshoot ${overshoot:-0} control-kb-per-s $quietKb"
    lastLine+=" control-core-percent $quietCore memory-mb $quietMb store-reads-per-s $quietReads"
    [ "$lacking" -eq 0 ] || say "nodes $size: $lacking times a node lacked a change after $inForceBound s"
    echo "$lastLine"
}

stopAll() {
    for name in "${!processes[@]}"; do
        kill -KILL "${processes[$name]}" 2> /dev/null || true
        unset "processes[$name]"
    done
}

# A Z85 secret of the cell for this run only.
peerKey="${LAGOONDECK_PEER_KEY:-JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6}"
for each in "${sizes[@]}"; do
    runSize "$each"
done
exit "$exitCode"
