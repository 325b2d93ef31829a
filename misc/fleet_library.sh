#!/usr/bin/env bash
# Functions shared by misc/fleet.sh and misc/capacity.sh that start stand-ins and entry instances on
# loopback and measure them. The caller sets bin and size and runs under `set -euo pipefail`.

readonly peerBase=21000 httpBase=22000
quietSeconds=10
work=$(mktemp -d)
declare -A processes=()
exitCode=0
# The cell's secret in Z85 encoding, for runs on loopback only.
peerKey="${LAGOONDECK_PEER_KEY:-JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6}"

cleanUp() {
    for pid in "${processes[@]}"; do
        kill -CONT "$pid" 2> /dev/null || true
        kill -KILL "$pid" 2> /dev/null || true
    done
    rm -rf "$work"
}
trap cleanUp EXIT

log() { echo "fleet: $*" >&2; }
now() { date +%s.%N; }

# Starts a program and stores its process id under a name; its output goes to a file of that name.
start() {
    local name=$1
    shift
    "$@" > "$work/$name.log" 2>&1 &
    processes[$name]=$!
    disown
}

# Waits until a file has a line whose first word matches, and prints the second word.
valueFrom() {
    for _ in $(seq 100); do
        awk -v key="$2" '$1 == key { print $2; found = 1; exit } END { exit !found }' "$1" && return
        sleep 0.05
    done
    log "no line '$2' in $1"
    exit 1
}

control() { curl -sf -X POST -d "$2" "http://$1/v1/control" > /dev/null; }

# Assigns failure domains round-robin, so that all three have about the same number of instances.
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

# Records that an instance is no longer expected to apply changes.
recordInstanceEnd() {
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
    log "not all of $# nodes are ready"
    exit 1
}

# Print the CPU time of all threads in nanoseconds and the resident kilobytes of a process.
cpuTimeOf() { cat /proc/"$1"/task/*/schedstat | awk '{ sum += $1 } END { printf "%.0f", sum }'; }
memoryOf() { awk '$1 == "VmRSS:" { print $2 }' "/proc/$1/status"; }

costOf() {
    statusOf "$1" | jq -r '.control | [.peerBytesIn + .peerBytesOut, .storeReads, .storeWatchesOpen,
        .peerMessagesIn + .peerMessagesOut] | map(tostring) | join(" ")'
}

# Measures the instances in `live` for quietSeconds. Writes one line for each: id, percent of a core,
# resident MB, KB/s of peer messages, store reads per second (an open watch counts as one), peer
# messages per second.
measureNodes() {
    local -A cpuTime=() cost=() began=()
    local id
    for id in "${live[@]}"; do
        cost[$id]=$(costOf "$id")
        cpuTime[$id]=$(cpuTimeOf "${processes[$id]}")
        began[$id]=$(now)
    done
    sleep "$quietSeconds"
    for id in "${live[@]}"; do
        echo "$id ${cpuTime[$id]} $(cpuTimeOf "${processes[$id]}") ${began[$id]} $(now)" \
            "$(memoryOf "${processes[$id]}") ${cost[$id]} $(costOf "$id")"
    done | awk '{
        seconds = $5 - $4
        printf "%s %.3f %.2f %.3f %.3f %.2f\n", $1, ($3 - $2) / seconds / 1e7, $6 / 1024,
            ($11 - $7) / 1000 / seconds, ($12 - $8) / seconds + $13, ($14 - $10) / seconds
    }'
}

startStore() {
    start store "$bin/lagoondeck-standin" store --address 127.0.0.1:0 --control 127.0.0.1:0
    storeAddress=$(valueFrom "$work/store.log" serving)
    storeControl=$(valueFrom "$work/store.log" control)
}

# Starts the instance list, with the targets of a topology when one is given.
startList() {
    start list "$bin/lagoondeck-standin" instances ${1:+--topology "$1"} --address 127.0.0.1:0
    listAddress=$(valueFrom "$work/list.log" serving)
}

startNodes() {
    live=()
    local number
    for number in $(seq 0 $(($1 - 1))); do
        startNode "$number"
        live+=("entry-$number")
    done
    waitReady "${live[@]}"
}

stopAll() {
    for name in "${!processes[@]}"; do
        kill -KILL "${processes[$name]}" 2> /dev/null || true
        unset "processes[$name]"
    done
    # Gives the processes time to release their ports, which are reused immediately.
    sleep 1
}
