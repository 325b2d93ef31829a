#!/usr/bin/env bash
# Measures the control plane's cost per entry instance against the number of instances, targets,
# entries and changes, and rewrites the tables in docs/CAPACITY.md that hold the measurements and the
# estimates derived from their slopes.
# Usage: misc/capacity.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${1:-build/release}/bin"
source misc/fleet_library.sh
readonly page=docs/CAPACITY.md
quietSeconds=6
readonly settleSeconds=5
readonly nodeSizes=(8 16 32 60) targetSizes=(96 192 384 768) entrySizes=(10 100 400 1000)
readonly changeRates=(0 1 2 4)

# Writes one line for a size: the size, the medians over the instances of percent of a core, MB, KB/s
# and messages per second, and the sum of store reads per second.
summary() {
    awk -v size="$1" '{ core[NR] = $2; mb[NR] = $3; kb[NR] = $4; reads += $5; messages[NR] = $6 }
        function median(values, count,    i, j, swap) {
            for (i = 1; i <= count; i++) for (j = i + 1; j <= count; j++)
                if (values[j] < values[i]) { swap = values[i]; values[i] = values[j]; values[j] = swap }
            return values[int((count + 1) / 2)]
        }
        END { printf "%s %.3f %.2f %.3f %.2f %.2f\n", size, median(core, NR), median(mb, NR),
                median(kb, NR), median(messages, NR), reads }'
}

measureSize() {
    measureNodes > "$work/nodes"
    summary "$1" < "$work/nodes"
}

topologyOf() {
    printf '{"seed": 1, "controlAddress": "127.0.0.1:0", "failureDomains": ["a", "b", "c"],
        "services": [{"name": "fit", "groups": %d, "serversPerGroup": 3, "slots": 3,
        "connectionCap": 30, "connectMs": 1, "basePort": 23000}]}' $(($1 / 3)) > "$work/topology.json"
}

# Puts entries numbered from $1 to $2 in one change set.
putEntries() {
    local files=()
    for number in $(seq "$1" "$2"); do
        printf '{"name":"class-%d","owner":"capacity","class":"class-%d","service":"fit","limits":{"ratePerSecond":%d,"concurrency":64}}' \
            "$number" "$number" $((100 + RANDOM % 900)) > "$work/entry-file-$number.json"
        files+=("$work/entry-file-$number.json")
    done
    "$bin/lagoondeckctl" --store "$storeAddress" --instances "$listAddress" catalogue put \
        "${files[@]}" --wait > /dev/null
}

againstNodes() {
    for size in "${nodeSizes[@]}"; do
        startStore
        startList ""
        startNodes "$size"
        sleep 8
        measureSize "$size"
        stopAll
    done
}

againstTargets() {
    size=4
    for count in "${targetSizes[@]}"; do
        topologyOf "$count"
        startStore
        start targets "$bin/lagoondeck-standin" targets --topology "$work/topology.json"
        startList "$work/topology.json"
        startNodes "$size"
        sleep "$settleSeconds"
        measureSize "$count"
        stopAll
    done
}

againstEntries() {
    size=4
    startStore
    startList ""
    startNodes "$size"
    local last=0
    for count in "${entrySizes[@]}"; do
        for first in $(seq $((last + 1)) 25 "$count"); do
            putEntries "$first" $((first + 24 < count ? first + 24 : count))
        done
        last=$count
        sleep "$settleSeconds"
        measureSize "$count"
    done
    stopAll
}

changeSteadily() {
    while true; do
        putEntries 1 1
        sleep "$1"
    done
}

againstChanges() {
    size=4
    startStore
    startList ""
    startNodes "$size"
    sleep "$settleSeconds"
    for rate in "${changeRates[@]}"; do
        local changeProcess=""
        if [ "$rate" -gt 0 ]; then
            changeSteadily "$(echo "scale=3; 1 / $rate" | bc)" 2> /dev/null &
            changeProcess=$!
            processes[changeProcess]=$changeProcess
            disown
        fi
        local before after began
        before=$(statusOf entry-0 | jq .catalogueRevision)
        began=$(now)
        measureNodes > "$work/nodes"
        after=$(statusOf entry-0 | jq .catalogueRevision)
        summary "$(echo "scale=2; ($after - $before) / ($(now) - $began)" | bc)" < "$work/nodes"
        if [ -n "$changeProcess" ]; then
            kill -KILL "$changeProcess"
            unset "processes[changeProcess]"
        fi
    done
    stopAll
}

# Fits a column against the size by least squares and prints "slope intercept".
slopeOf() {
    awk -v column="$2" '{ n++; x += $1; y += $column; xx += $1 * $1; xy += $1 * $column }
        END { slope = (n * xy - x * y) / (n * xx - x * x); printf "%.6f %.4f", slope, (y - slope * x) / n }' "$1"
}

table() {
    echo "| $2 | percent of a core | MB | KB/s between nodes | messages/s | store reads/s, all nodes |"
    echo "|---|---|---|---|---|---|"
    awk '{ printf "| %s | %s | %s | %s | %s | %s |\n", $1, $2, $3, $4, $5, $6 }' "$1"
    local name column
    for name in "core percent:2" "MB:3" "KB/s:4"; do
        column=${name##*:}
        read -r slope base <<< "$(slopeOf "$1" "$column")"
        echo "| slope of ${name%%:*} | $slope for each, $base at none | | | | |"
    done
    echo
}

atDesignSize() {
    local nodeCore nodeCoreBase nodeKb nodeKbBase nodeMb nodeMbBase targetCore targetCoreBase targetMb targetMbBase
    local entryMb entryCore changeCore changeKb ignored
    read -r nodeCore nodeCoreBase <<< "$(slopeOf "$work/against-nodes" 2)"
    read -r nodeMb nodeMbBase <<< "$(slopeOf "$work/against-nodes" 3)"
    read -r nodeKb nodeKbBase <<< "$(slopeOf "$work/against-nodes" 4)"
    read -r targetCore targetCoreBase <<< "$(slopeOf "$work/against-targets" 2)"
    read -r targetMb targetMbBase <<< "$(slopeOf "$work/against-targets" 3)"
    read -r entryMb ignored <<< "$(slopeOf "$work/against-entries" 3)"
    read -r entryCore ignored <<< "$(slopeOf "$work/against-entries" 2)"
    read -r changeCore ignored <<< "$(slopeOf "$work/against-changes" 2)"
    read -r changeKb ignored <<< "$(slopeOf "$work/against-changes" 4)"
    awk -v nc="$nodeCore" -v ncb="$nodeCoreBase" -v nk="$nodeKb" -v nkb="$nodeKbBase" -v nm="$nodeMb" \
        -v nmb="$nodeMbBase" -v tc="$targetCore" -v tm="$targetMb" -v em="$entryMb" \
        -v ec="$entryCore" -v cc="$changeCore" -v ck="$changeKb" '
        BEGIN {
            nodes = 5200; targets = 30000; cell = 104; cells = nodes / cell
            cellTargets = targets / cells; changes = 2900 / 86400; entries = 1000
            print "| part of a node in a cell of " cell " nodes and " cellTargets " targets | percent of a core | KB/s | MB | slope used |"
            print "|---|---|---|---|---|"
            printf "| process, membership, catalogue comparison, shares | %.3f | %.2f | %.1f | nodes |\n", ncb + nc * cell, nkb + nk * cell, nmb + nm * cell
            printf "| targets, quiet connections and health | %.3f | (HTTP, not counted) | %.1f | targets |\n", tc * cellTargets, tm * cellTargets
            printf "| %d entries | %.3f | 0 | %.2f | entries |\n", entries, ec * entries, em * entries
            printf "| 2,900 changes a day | %.5f | %.5f | 0 | changes |\n", cc * changes, ck * changes
            printf "| sum | %.3f | %.2f | %.1f | |\n", ncb + nc * cell + tc * cellTargets + ec * entries + cc * changes, nkb + nk * cell + ck * changes, nmb + nm * cell + tm * cellTargets + em * entries
            printf "| budget | 1.2 | 25 | 64 | |\n\n"
            print "| the same code as one cell of 5,200 nodes and 30,000 targets | percent of a core | KB/s | MB |"
            print "|---|---|---|---|"
            printf "| sum | %.2f | %.1f | %.1f |\n", ncb + nc * nodes + tc * targets + ec * entries + cc * changes, nkb + nk * nodes + ck * changes, nmb + nm * nodes + tm * targets + em * entries
        }'
}

# Replaces the text between the markers of a section on the page by the contents of a file.
replaceSection() {
    awk -v begin="<!-- $1: begin -->" -v end="<!-- $1: end -->" -v file="$2" '
        $0 == begin { print; print ""; while ((getline line < file) > 0) print line; skip = 1; next }
        $0 == end { skip = 0 }
        !skip { print }' "$page" > "$work/page"
    cp "$work/page" "$page"
}

for what in nodes targets entries changes; do
    echo "capacity: against $what"
    "against${what^}" > "$work/against-$what"
    cat "$work/against-$what"
done
{
    echo "Measured with $(nproc) processors on loopback, medians over the nodes, $quietSeconds s each."
    echo
    table "$work/against-nodes" "nodes, no targets"
    table "$work/against-targets" "targets, 4 nodes"
    table "$work/against-entries" "entries, 4 nodes"
    table "$work/against-changes" "changes a second, 4 nodes"
} > "$work/measured"
atDesignSize > "$work/design"
replaceSection measured "$work/measured"
replaceSection design "$work/design"
echo "capacity: rewrote $page"
