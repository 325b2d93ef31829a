# Defines the load of each site as plans for lagoondeck-load, and the catalogue entries it uses.
# The sourcing script sets: site, work.

# Queries per second that the slots of the fan-out service can serve: 3 servers x slots divided by
# the mean service time of 20 ms including its tail.
declare -A fan_out_capacity=([luzon]=437 [ashanti]=291)

# Duration of a run by scenario, and its initial period that is excluded from the latencies.
run_ms() { [ "$1" = rolling ] && echo 11000 || echo 6000; }
warm_up_ms=1500

# Points of a stream's rate: constant, or rising to three times the rate within 1.5 s.
rate_of() {
    local scenario=$1 per_second=$2
    case $scenario in
        crest*) echo "[{\"atMs\":0,\"perSecond\":$per_second},{\"atMs\":2000,\"perSecond\":$per_second},{\"atMs\":3500,\"perSecond\":$((3 * per_second))}]" ;;
        *) echo "[{\"atMs\":0,\"perSecond\":$per_second}]" ;;
    esac
}

# Usage: stream SCENARIO ENTRY SERVICE RATE DEADLINE_MS CAPACITY [MORE_FIELDS]
stream() {
    echo "{\"entry\":\"$2\",\"service\":\"$3\",\"rate\":$(rate_of "$1" "$4"),\"deadlineMs\":$5,\"capacityPerSecond\":$6,\"callers\":[\"$2-1\",\"$2-2\",\"$2-3\"]${7:-}}"
}

write_plan() {
    local scenario=$1 capacity=${fan_out_capacity[$site]}
    echo "{\"durationMs\":$(run_ms "$scenario"),\"warmUpMs\":$warm_up_ms,\"workers\":400,\"streams\":["
    if [ "$site" = luzon ]; then
        stream "$scenario" fit-check fit 80 250 "$capacity"; echo ,
        stream "$scenario" pattern-lookup fit 120 250 "$capacity"; echo ,
        stream "$scenario" intake-write intake 40 500 0 ',"idempotent":false,"shards":15,"sentTwice":0.05'; echo ,
        stream "$scenario" certificates certificates 60 250 0; echo ,
        stream "$scenario" reporting reporting 10 1000 0
    else
        stream "$scenario" van-search van-finder 120 250 "$capacity"; echo ,
        stream "$scenario" van-booking van-finder 30 500 "$capacity" ',"idempotent":false,"shards":10,"sentTwice":0.05'; echo ,
        stream "$scenario" dues dues 30 500 0; echo ,
        stream "$scenario" directory directory 60 250 0; echo ,
        stream "$scenario" notices notices 10 1000 0
    fi
    if [ "$scenario" = poison ]; then
        echo ,
        stream steady "$(fan_out_entry)" "$(fan_out_service)" 4 250 0 ',"body":{"pattern":"crashes-its-target"}'
    fi
    echo "]}"
}

fan_out_entry() { [ "$site" = luzon ] && echo fit-check || echo van-search; }
fan_out_service() { [ "$site" = luzon ] && echo fit || echo van-finder; }

# Writes the site's catalogue; in the scenario where requests may crash targets, the fan-out entry
# gets a canary.
write_catalogue() {
    mkdir -p "$work/catalogue"
    cp "misc/settings/${site}_catalogue"/*.json "$work/catalogue/"
    if [ "$1" = poison ]; then
        sed -i 's/"hedgeBudget"/"canary": true, "hedgeBudget"/' "$work/catalogue/$(fan_out_entry).json"
    fi
}
