#!/usr/bin/env bash
# What misc/fleet.sh and misc/capacity.sh share: starting stand-ins and entry instances on loopback
# and measuring them. The caller sets bin, size and runs under `set -euo pipefail`.

readonly peerBase=21000 httpBase=22000
quietSeconds=10
work=$(mktemp -d)
declare -A processes=()
exitCode=0
# A Z85 secret of the cell, for runs on loopback only.
peerKey="${LAGOONDECK_PEER_KEY:-JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6}"

cleanUp() {
    for pid in "${processes[@]}"; do
        kill -CONT "$pid" 2> /dev/null || true
        kill -KILL "$pid" 2> /dev/null || true
    done
    rm -rf "$work"
}
trap cleanUp EXIT

say() { echo "fleet: $*" >&2; }
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

# Nanoseconds on a processor of all threads, and resident kilobytes, of a process.
processorOf() { cat /proc/"$1"/task/*/schedstat | awk '{ sum += $1 } END { printf "%.0f", sum }'; }
memoryOf() { awk '$1 == "VmRSS:" { print $2 }' "/proc/$1/status"; }

costOf() {
    statusOf "$1" | jq -r '.control | [.peerBytesIn + .peerBytesOut, .storeReads, .storeWatchesOpen,
        .peerMessagesIn + .peerMessagesOut] | map(tostring) | join(" ")'
}

# Measures the nodes of `live` for a while. One line for each: id, percent of a core, resident MB,
# KB/s of peer messages, store reads a second (an open watch counts as one), peer messages a second.
measureNodes() {
    local -A processor=() cost=() began=()
    local id
    for id in "${live[@]}"; do
        cost[$id]=$(costOf "$id")
        processor[$id]=$(processorOf "${processes[$id]}")
        began[$id]=$(now)
    done
    sleep "$quietSeconds"
    for id in "${live[@]}"; do
        echo "$id ${processor[$id]} $(processorOf "${processes[$id]}") ${began[$id]} $(now)" \
            "$(memoryOf "${processes[$id]}") ${cost[$id]} $(costOf "$id")"
    done | awk '{
        seconds = $5 - $4
        printf "%s %.3f %.2f %.3f %.3f %.2f\n", $1, ($3 - $2) / seconds / 1e7, $6 / 1024,
            ($11 - $7) / 1000 / seconds, ($12 - $8) / seconds + $13, ($14 - $10) / seconds
    }'
}

startStore() {
    start store "$bin/lagoondeck-standin" store --address 127.0.0.1:0 --control 127.0.0.1:0
    storeAddress=$(wordFrom "$work/store.log" serving)
    storeControl=$(wordFrom "$work/store.log" control)
}

# Starts the instance list, with the targets of a topology when one is given.
startList() {
    start list "$bin/lagoondeck-standin" instances ${1:+--topology "$1"} --address 127.0.0.1:0
    listAddress=$(wordFrom "$work/list.log" serving)
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
    # The ports are used again at once.
    sleep 1
}
