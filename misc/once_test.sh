#!/usr/bin/env bash
# Sends requests that must run at most once to several entry instances on loopback while the store
# loses replies or is down and instances are paused, killed and restarted, and then requests that
# crash their targets. The stand-in targets count runs and crashes.
# Usage: misc/once_test.sh BUILD_DIR. Exits with 0 only if all checks pass.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${1:-build/release}/bin"
work=$(mktemp -d)
readonly targetsControl=127.0.0.1:24000 store=127.0.0.1:24010 storeControl=127.0.0.1:24011
readonly list=127.0.0.1:24012 httpBase=24100 peerBase=24200 nodes=4
# The minimum lifetime of a claim; a request older than two thirds of it is refused.
readonly retentionMs=6000
declare -A processes=()
problems=0

cleanUp() {
    for pid in "${processes[@]}"; do
        kill -CONT "$pid" 2> /dev/null || true
        kill -KILL "$pid" 2> /dev/null || true
    done
    rm -rf "$work"
}
trap cleanUp EXIT

log() { echo "once: $*"; }
problem() { log "PROBLEM: $*"; problems=$((problems + 1)); }
control() { curl -sf -o /dev/null -X POST -d "$2" "http://$1/v1/control"; }
b64() { printf '%s' "$1" | base64 -w0; }
milliseconds() { date +%s%3N; }

start() {
    local name=$1
    shift
    "$@" > "$work/$name.log" 2>&1 &
    processes[$name]=$!
    disown
}

waitFor() {
    for _ in $(seq 200); do
        curl -sf -o /dev/null -m 1 "http://$1" && return
        sleep 0.05
    done
    log "no answer from $1"
    exit 1
}

startEntry() {
    local id="entry-$1" http="127.0.0.1:$((httpBase + $1))" peer="127.0.0.1:$((peerBase + $1))"
    cat > "$work/$id.json" << SETTINGS
{"id": "$id", "failureDomain": "a", "httpAddress": "$http", "peerAddress": "$peer",
 "storeAddress": "$store", "instanceListAddress": "$list", "seed": 1, "callerThreads": 32,
 "peerKey": "lagoondeckoncekeyforloopbackonlynosecret", "claimRetentionMs": $retentionMs, "claimWritesPerSecond": 800}
SETTINGS
    start "$id" "$bin/lagoondeckd" --settings "$work/$id.json"
    control "$list" "{\"entries\":[{\"id\":\"$id\",\"peerAddress\":\"$peer\",\"httpAddress\":\"$http\",\"failureDomain\":\"a\",\"state\":\"live\"}]}"
}

# Reads entries, one "name service canary" per line, and puts them as the changes 1, 2, ...
putCatalogue() {
    local name service canary entry change puts="" revision=0
    while read -r name service canary; do
        revision=$((revision + 1))
        entry="{\"name\":\"$name\",\"owner\":\"test\",\"class\":\"$name\",\"service\":\"$service\",\"canary\":$canary,\"limits\":{\"ratePerSecond\":2000,\"concurrency\":800},\"deadlineMs\":700}"
        change="{\"revision\":$revision,\"changeId\":\"once-$revision\",\"author\":\"once\",\"name\":\"$name\",\"acceptedAtUs\":1,\"entry\":$entry}"
        puts+="{\"request_put\":{\"key\":\"$(b64 "lagoondeck/catalogue/changes/$(printf %012d "$revision")")\",\"value\":\"$(b64 "$change")\"}},"
        puts+="{\"request_put\":{\"key\":\"$(b64 "lagoondeck/catalogue/entries/$name")\",\"value\":\"$(b64 "$change")\"}},"
    done
    puts+="{\"request_put\":{\"key\":\"$(b64 lagoondeck/catalogue/head)\",\"value\":\"$(b64 "{\"revision\":$revision,\"changeId\":\"once-$revision\"}")\"}}"
    curl -sf -o /dev/null -d "{\"compare\":[],\"success\":[$puts]}" "http://$store/v3/kv/txn"
}

# Sends a query to all shards through one instance and records the answer like send.
# Usage: sendQuery NODE ENTRY ID BODY
sendQuery() {
    local reply
    reply=$(curl -s -m 15 -d "{\"requestId\":\"$3\",\"caller\":\"once\",\"body\":$4}" \
        "http://127.0.0.1:$((httpBase + $1))/v1/queries/$2" 2> /dev/null) || reply='"elapsedMs":0,"outcome":"none","reason":"connection-ended"'
    sed -E "s/.*\"elapsedMs\":([0-9.]+).*\"outcome\":\"([^\"]*)\".*\"reason\":\"([^\"]*)\".*/$3 \\2 \\3 \\1/" <<< "$reply" >> "$work/looks.$BASHPID"
}
queryAnswers() { cat "$work"/looks.* | grep "^$1"; }
medianQueryMs() { queryAnswers "$1" | awk '{ print $4 }' | sort -n | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'; }
crashes() { curl -sf "http://$targetsControl/v1/counts" | sed -E 's/.*"total":\{[^}]*"crashes":([0-9]+).*/\1/'; }

# Sends a request id to one instance and records: id, outcome, reason, milliseconds taken.
# Usage: send NODE ID ISSUED_AT_MS [IDEMPOTENT]
send() {
    local reply
    reply=$(curl -s -m 15 -d "{\"requestId\":\"$2\",\"caller\":\"once\",\"idempotent\":${4:-false},\"shard\":0,\"issuedAtMs\":$3}" \
        "http://127.0.0.1:$((httpBase + $1))/v1/queries/book" 2> /dev/null) || reply='"elapsedMs":0,"outcome":"none","reason":"connection-ended"'
    sed -E "s/.*\"elapsedMs\":([0-9.]+).*\"outcome\":\"([^\"]*)\".*\"reason\":\"([^\"]*)\".*/$2 \2 \3 \1/" <<< "$reply" >> "$work/answers.$BASHPID"
}
medianMs() { answers "$1" | awk '{ print $4 }' | sort -n | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'; }
sendAll() { for node in $(seq 0 $((nodes - 1))); do send "$node" "$1" "$2" & done; }
answers() { cat "$work"/answers.* 2> /dev/null | grep "^$1" || true; }
countAnswers() { answers "$1" | grep -c " $2" || true; }
countRuns() { awk -F'\t' -v id="$1" '$3 ~ "^" id { split($5, runs, ":"); total += runs[3] } END { print total + 0 }' "$work/ran"; }
fetchRuns() { curl -sf "http://$targetsControl/v1/ran" > "$work/ran"; }

log "starting stand-ins and $nodes entry instances"
cat > "$work/topology.json" << TOPOLOGY
{"seed": 1, "controlAddress": "$targetsControl", "failureDomains": ["a", "b", "c"], "services": [
 {"name": "bookings", "groups": 1, "serversPerGroup": 3, "slots": 8, "connectionCap": 100,
  "connectMs": 1, "serviceMs": 5, "serviceSigma": 0.1, "queueLimit": 400, "basePort": 24300},
 {"name": "look", "groups": 5, "serversPerGroup": 3, "slots": 8, "connectionCap": 100,
  "connectMs": 1, "serviceMs": 5, "serviceSigma": 0.1, "queueLimit": 400, "basePort": 24320}]}
TOPOLOGY
start targets "$bin/lagoondeck-standin" targets -t "$work/topology.json" -c "$targetsControl"
start store "$bin/lagoondeck-standin" store -a "$store" -c "$storeControl"
start instances "$bin/lagoondeck-standin" instances -t "$work/topology.json" -a "$list"
waitFor "$targetsControl/v1/counts"
waitFor "$storeControl/v1/counts"
waitFor "$list/v1/instances"
putCatalogue << ENTRIES
book bookings false
look look true
plain look false
ENTRIES
for node in $(seq 0 $((nodes - 1))); do startEntry "$node"; done
for node in $(seq 0 $((nodes - 1))); do waitFor "127.0.0.1:$((httpBase + node))/v1/ready"; done
sleep 1
send 0 warm0 "$(milliseconds)"
for node in 1 2 3; do send "$node" "warm$node" "$(milliseconds)"; done

log "what a claim costs: 100 requests one after the other"
before=$(curl -sf "http://$storeControl/v1/counts")
for i in $(seq 100); do send 0 "cost$i-" "$(milliseconds)"; done
sleep 0.5
after=$(curl -sf "http://$storeControl/v1/counts")
field() { sed -E "s/.*\"$2\":([0-9]+).*/\1/" <<< "$1"; }
for i in $(seq 100); do send 0 "plain$i-" "$(milliseconds)" true; done
log "median $(medianMs cost) ms; without a claim $(medianMs plain) ms; answered $(countAnswers cost answered) of 100; store writes $(($(field "$after" writes) - $(field "$before" writes))), leases $(($(field "$after" leases) - $(field "$before" leases)))"

log "the same id to all instances at once, 20 ids"
for i in $(seq 20); do sendAll "same$i-" "$(milliseconds)"; done
wait
log "the same while the store loses 30% of its replies"
control "$storeControl" '{"lostReplies":0.3}'
for i in $(seq 20); do sendAll "lossy$i-" "$(milliseconds)"; done
wait
control "$storeControl" '{"lostReplies":0}'

log "the store down"
control "$storeControl" '{"outage":true}'
for i in 1 2 3; do sendAll "down$i-" "$(milliseconds)"; done
wait
[ "$(countAnswers down 'not-run claim-unavailable')" -eq 12 ] || problem "the store was down, and: $(answers down | sort | uniq -c)"
control "$storeControl" '{"outage":false}'
sleep 1
for i in 1 2 3; do sendAll "up$i-" "$(milliseconds)"; done
wait
[ "$(countAnswers up answered)" -eq 3 ] || problem "the store is back, and: $(answers up | sort | uniq -c)"

log "a holder paused while its claim is under way, past the claim's life"
control "$storeControl" '{"delayMs":300}'
issued=$(milliseconds)
for i in 1 2 3 4 5; do send 1 "held$i-" "$issued" & done
sleep 0.15
kill -STOP "${processes[entry-1]}"
control "$storeControl" '{"delayMs":0}'
for i in 1 2 3 4 5; do send 2 "held$i-" "$issued" & done
log "an instance paused before it reads the requests, which others run meanwhile"
kill -STOP "${processes[entry-3]}"
issued=$(milliseconds)
for i in 1 2 3 4 5; do send 3 "late$i-" "$issued" & done
sleep 0.2
for i in 1 2 3 4 5; do send 2 "late$i-" "$issued" & done
sleep 10
kill -CONT "${processes[entry-1]}" "${processes[entry-3]}"
wait

log "an instance killed in the middle and started again under the same name"
issued=$(milliseconds)
for i in 1 2 3 4 5 6; do send 0 "kill$i-" "$issued" & done
sleep 0.01
kill -KILL "${processes[entry-0]}"
while kill -0 "${processes[entry-0]}" 2> /dev/null; do sleep 0.02; done
startEntry 0
waitFor "127.0.0.1:$httpBase/v1/ready"
for i in 1 2 3 4 5 6; do sendAll "kill$i-" "$issued"; done
wait

log "what a canary costs: 60 unseen bodies, 60 seen ones, 60 of an entry without a canary"
for i in $(seq 60); do sendQuery 1 look unseen "{\"n\":$i}"; done
for i in $(seq 60); do sendQuery 1 look seen "{\"n\":$i}"; done
for i in $(seq 60); do sendQuery 1 plain none "{\"n\":$i}"; done
log "median unseen $(medianQueryMs unseen) ms, seen $(medianQueryMs seen) ms, without $(medianQueryMs none) ms"

poison() {
    control "$targetsControl" "{\"action\":\"poison\",\"service\":\"look\",\"text\":\"$1\",\"downMs\":3000}"
}
log "a poison sent 20 times over all instances, one after the other"
poison crash-a
before=$(crashes)
for i in $(seq 20); do sendQuery $((i % nodes)) look "poison-a" '{"text":"crash-a"}'; sleep 0.3; done
lostSequentially=$(($(crashes) - before))
[ "$lostSequentially" -le 2 ] || problem "the poison took $lostSequentially targets down"
sleep 4
log "another, 20 times at once and again 2 s later"
poison crash-b
before=$(crashes)
for round in 1 2; do
    for i in $(seq 20); do sendQuery $((i % nodes)) look "poison-b" '{"text":"crash-b"}' & done
    wait
    sleep 2
done
lostConcurrently=$(($(crashes) - before))
[ "$lostConcurrently" -le 2 ] || problem "the poison took $lostConcurrently targets down"
log "targets lost: in turn $lostSequentially, at once $lostConcurrently"
for kind in poison-a poison-b unseen seen none; do
    log "$kind: $(queryAnswers $kind | cut -d' ' -f2,3 | sort | uniq -c | tr -s ' \n' ' ')"
done

fetchRuns
doubled=$(awk -F'\t' '$4 == "once" { split($5, runs, ":"); if (runs[3] > 1) print $3 }' "$work/ran" | wc -l)
[ "$doubled" -eq 0 ] || problem "$doubled ids ran twice"
[ "$(countRuns same)" -eq 20 ] || problem "of 20 ids sent to all at once $(countRuns same) ran"
[ "$(countRuns down)" -eq 0 ] || problem "a request ran that was refused as not run"
[ "$(countRuns late)" -eq 5 ] || problem "of 5 ids sent to a paused and a live instance $(countRuns late) ran"
# Finds requests that ran although every instance reported "not run".
for id in $(cat "$work"/answers.* | awk '{ if ($2 != "not-run") other[$1] = 1; seen[$1] = 1 } END { for (id in seen) if (!(id in other)) print id }'); do
    [ "$(countRuns "$id")" -eq 0 ] || problem "$id ran, but all its answers say not run"
done
for kind in same lossy down up held late kill; do
    log "$kind: ran $(countRuns $kind); answers: $(answers $kind | cut -d' ' -f2,3 | sort | uniq -c | tr -s ' \n' ' ')"
done
log "sent $(cat "$work"/answers.* | wc -l) ids-ran $(wc -l < "$work/ran") doubled $doubled problems $problems"
[ "$problems" -eq 0 ]
