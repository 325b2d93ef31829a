#!/usr/bin/env bash
# Runs entry instances on loopback and kills, stops, pauses and replaces them while the catalogue
# changes. Measures how long each change takes to be in force on all instances, and the cost of the
# control plane. Usage: misc/fleet.sh BUILD_DIR [SIZE...]    sizes are 6 8 60 by default
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${1:-build/release}/bin"
shift || true
sizes=("${@:-6}")
[ "$#" -gt 0 ] || sizes=(6 8 60)

readonly changeInterval=0.4 changesPerPhase=8
readonly inForceBound=11 sharedLimit=100
source misc/fleet_library.sh

# Puts one entry. Records the time before the command, the revision, the command's exit code and the
# phase.
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
        sleep "$changeInterval"
    done
}

# Joins the changes with the instances' logs to find, for each accepted change, the time at which it
# was in force on each instance that was up from before the change until the bound after it.
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
                delay = -1
                for (i = 1; i <= count[id]; i++) {
                    if (revision[id, i] >= $2) { delay = at[id, i] - $1; break }
                }
                if (delay < 0) { lacking++; print "lacking", id, $2 > "/dev/stderr"; continue }
                if (delay > worst) worst = delay
            }
            print 1000 * worst, $4
        }
        END { printf "total %d %d\n", reverted, lacking }' \
        "$work/lives" "$work/applied" "$work/changes" > "$work/evaluated"
}

# Sends queries for an entry to one instance until stopped; writes the status of each answer.
sendSteadily() {
    local url="http://127.0.0.1:$((httpBase + ${1#entry-}))/v1/queries/shared" number=0
    while true; do
        number=$((number + 1))
        curl -s -m 2 -o /dev/null -w '%{http_code}\n' -d "{\"requestId\":\"$1-$2-$number\",\"caller\":\"fleet\"}" "$url" || true
    done
}

startClients() {
    for client in 1 2 3 4 5 6; do
        start "asker-$client" sendSteadily "$1" "$client"
    done
}

stopClients() {
    for client in 1 2 3 4 5 6; do
        kill -KILL "${processes[asker-$client]}" 2> /dev/null || true
        unset "processes[asker-$client]"
        cat "$work/asker-$client.log" >> "$work/answers"
    done
}

# Sends more queries than the whole limit allows to one instance and then to another, and samples the
# sum of all instances' shares. Sets `overshoot` to the maximum excess as a fraction of the limit.
measureOvershoot() {
    printf '{"name":"shared","owner":"fleet","class":"shared","service":"fit","limits":{"ratePerSecond":%d,"concurrency":600}}' \
        "$sharedLimit" > "$work/shared.json"
    "$bin/lagoondeckctl" --store "$storeAddress" --instances "$listAddress" catalogue put "$work/shared.json" --wait > /dev/null
    # One file per instance, because curl mixes the bodies of parallel transfers on one output.
    local urls=() files=() overloaded
    for id in "${live[@]}"; do
        files+=("$work/status-$id.json")
        urls+=(-o "$work/status-$id.json" "http://127.0.0.1:$((httpBase + ${id#entry-}))/v1/status")
    done
    : > "$work/sums"
    : > "$work/answers"
    for overloaded in "${live[0]}" "${live[1]}"; do
        startClients "$overloaded"
        for _ in $(seq 40); do
            rm -f "${files[@]}"
            curl -s -Z -m 2 "${urls[@]}" 2> /dev/null || true
            cat "${files[@]}" 2> /dev/null \
                | jq -s '[.[].shares.shared.ratePerSecond] | [add, max] | join(" ")' -r >> "$work/sums"
            sleep 0.1
        done
        stopClients
    done
    overshoot=$(awk -v limit="$sharedLimit" '{ over = $1 / limit - 1; worst = over > worst ? over : worst }
        END { printf "%.3f", worst }' "$work/sums")
    log "nodes $size sum of parts at worst $(sort -n "$work/sums" | tail -1 | cut -d' ' -f1) of $sharedLimit," \
        "largest part $(sort -k2 -n "$work/sums" | tail -1 | cut -d' ' -f2)," \
        "asked $(wc -l < "$work/answers") refused $(grep -c 429 "$work/answers" || true)"
}

median() { sort -n | awk '{ value[NR] = $1 } END { printf "%.0f", value[int((NR + 1) / 2)] }'; }

injectNodeFaults() {
    local killed=${live[0]} stopped=${live[1]} paused=${live[2]}
    recordInstanceEnd "$killed"
    kill -KILL "${processes[$killed]}"
    removeNode "$killed"
    recordInstanceEnd "$stopped"
    kill -TERM "${processes[$stopped]}"
    recordInstanceEnd "$paused"
    kill -STOP "${processes[$paused]}"
    startNode "$next"
    startNode $((next + 1))
    changeSeveral disturbed
    kill -CONT "${processes[$paused]}"
    echo "$paused $(now) inf" >> "$work/lives"
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
    startStore
    start targets "$bin/lagoondeck-standin" targets --topology misc/settings/luzon_topology.json
    startList misc/settings/luzon_topology.json
    startNodes "$size"
    # Gives the instances time to exchange their membership and to open their connections.
    sleep 10
    measureNodes > "$work/quiet"
    changeSeveral steady
    measureOvershoot
    control "$storeControl" '{"lostReplies":0.5}'
    changeSeveral replies-lost
    control "$storeControl" '{"lostReplies":0}'
    control "$storeControl" '{"outage":true}'
    changeCatalogue store-down
    sleep 3
    control "$storeControl" '{"outage":false}'
    changeSeveral store-restarted
    injectNodeFaults
    sleep 3
    evaluate
    checkReportedChanges
    report
    stopAll
}

# Checks that every change that was reported as accepted is in the history, and that none that was
# refused is.
checkReportedChanges() {
    "$bin/lagoondeckctl" --store "$storeAddress" --instances "$listAddress" --json catalogue history \
        > "$work/history.json"
    local head accepted uncertain
    # Excludes the entry that measureOvershoot put.
    head=$(($(jq -r .revision "$work/history.json") - 1))
    accepted=$(awk '$3 == 0' "$work/changes" | wc -l)
    uncertain=$(awk '$3 == 6' "$work/changes" | wc -l)
    if [ "$head" -lt "$accepted" ] || [ "$head" -gt $((accepted + uncertain)) ]; then
        log "operators were told of $accepted accepted and $uncertain uncertain changes, the head is $head"
        exitCode=1
    fi
    log "nodes $size changes $(wc -l < "$work/changes") accepted $accepted uncertain $uncertain refused" \
        "$(awk '$3 != 0 && $3 != 6' "$work/changes" | wc -l) head $head"
}

report() {
    local reverted lacking phase
    read -r _ reverted lacking <<< "$(grep ^total "$work/evaluated")"
    for phase in steady replies-lost store-restarted disturbed replaced; do
        log "nodes $size phase $phase worst-ms $(awk -v phase="$phase" '$2 == phase' "$work/evaluated" | sort -n | tail -1 | cut -d' ' -f1)"
    done
    [ "$reverted" -eq 0 ] && [ "$lacking" -eq 0 ] || exitCode=1
    local worst
    worst=$(awk '{
        core = $2 > core ? $2 : core; mb = $3 > mb ? $3 : mb; kb = $4 > kb ? $4 : kb; reads += $5
    } END { printf "control-kb-per-s %.2f control-core-percent %.2f memory-mb %.1f store-reads-per-s %.1f",
        kb, core, mb, reads }' "$work/quiet")
    lastLine="fleet: nodes $size in-force-median-ms $(grep -v ^total "$work/evaluated" | median)"
    lastLine+=" in-force-worst-ms $(grep -v ^total "$work/evaluated" | sort -n | tail -1 | awk '{ printf "%.0f", $1 }')"
    lastLine+=" reverted $reverted overshoot $overshoot $worst"
    [ "$lacking" -eq 0 ] || log "nodes $size: $lacking times a node lacked a change after $inForceBound s"
    echo "$lastLine"
}

for nodeCount in "${sizes[@]}"; do
    runSize "$nodeCount"
done
exit "$exitCode"
