# Functions that start and stop a cell on loopback: the stand-ins and the cell's entry instances.
# The sourcing script sets: bin (programs), work (scratch folder), site, policy.
# Every process is stopped by its process id.

# LAGOONDECK_PORT_OFFSET is added to all ports, so that several cells can run concurrently.
port_offset=${LAGOONDECK_PORT_OFFSET:-0}
targets_control=127.0.0.1:$((18000 + port_offset))
store=127.0.0.1:$((18010 + port_offset))
store_control=127.0.0.1:$((18011 + port_offset))
instances=127.0.0.1:$((18012 + port_offset))
declare -A entry_pids=()
standin_pids=()

post() { curl -sf -o /dev/null -X POST -d "$2" "http://$1"; }
control_targets() { post "$targets_control/v1/control" "$1"; }
control_instances() { post "$instances/v1/control" "$1"; }
control_store() { post "$store_control/v1/control" "$1"; }

# Waits until a path returns status 2xx. Usage: wait_for ADDRESS/PATH [SECONDS]
wait_for() {
    local tries=$((${2:-10} * 20))
    until curl -sf -o /dev/null -m 1 "http://$1"; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || { echo "no answer from $1" >&2; return 1; }
        sleep 0.05
    done
}

# Usage: start_standins [SEED]
start_standins() {
    local topology="misc/settings/${site}_topology.json"
    "$bin/lagoondeck-standin" targets -t "$topology" -s "${1:-1}" -p "$port_offset" -c "$targets_control" > "$work/targets.log" 2>&1 &
    standin_pids+=($!)
    "$bin/lagoondeck-standin" store -a "$store" -c "$store_control" > "$work/store.log" 2>&1 &
    standin_pids+=($!)
    "$bin/lagoondeck-standin" instances -t "$topology" -p "$port_offset" -a "$instances" > "$work/instances.log" 2>&1 &
    standin_pids+=($!)
    wait_for "$targets_control/v1/versions"
    wait_for "$store_control/v1/counts"
    wait_for "$instances/v1/counts"
}

# Starts one entry instance and adds it to the instance list. Usage: start_entry NUMBER
start_entry() {
    local number=$1 name="entry-$1" domains=(a b c)
    local domain="$site-${domains[$((number % 3))]}"
    local http="127.0.0.1:$((18500 + port_offset + number))" peer="127.0.0.1:$((18600 + port_offset + number))"
    cat > "$work/$name.json" <<SETTINGS
{
  "id": "$name", "failureDomain": "$domain", "httpAddress": "$http", "peerAddress": "$peer",
  "storeAddress": "$store", "instanceListAddress": "$instances",
  "peerKey": "lagoondeckdemokeyforloopbackonlynosecret", "policy": "$policy", "seed": $((number + 1)),
  "callerThreads": 256
}
SETTINGS
    "$bin/lagoondeckd" --settings "$work/$name.json" > "$work/$name.log" 2>&1 &
    entry_pids[$number]=$!
    control_instances "{\"entries\":[{\"id\":\"$name\",\"peerAddress\":\"$peer\",\"httpAddress\":\"$http\",\"failureDomain\":\"$domain\",\"state\":\"live\"}]}"
}

wait_entry_ready() { wait_for "127.0.0.1:$((18500 + port_offset + $1))/v1/ready" "${2:-15}"; }

# Stops one entry instance gracefully and returns its exit code. Usage: stop_entry NUMBER
stop_entry() {
    local pid=${entry_pids[$1]}
    unset "entry_pids[$1]"
    control_instances "{\"leaving\":[\"entry-$1\"]}"
    kill -TERM "$pid"
    local code=0
    wait "$pid" || code=$?
    control_instances "{\"remove\":[\"entry-$1\"]}"
    return "$code"
}

# Usage: put_catalogue [OPTION_OF_LAGOONDECKCTL...] FILE...
put_catalogue() {
    "$bin/lagoondeckctl" --store "$store" --instances "$instances" catalogue put "$@" >> "$work/catalogue.log" 2>&1
}

# Stops all processes that this script started. Safe to call twice.
stop_cell() {
    local pids=("${entry_pids[@]}" "${standin_pids[@]}")
    entry_pids=()
    standin_pids=()
    [ "${#pids[@]}" -gt 0 ] || return 0
    kill -TERM "${pids[@]}" 2> /dev/null || true
    local tries=100
    while [ "$tries" -gt 0 ] && kill -0 "${pids[@]}" 2> /dev/null; do
        tries=$((tries - 1))
        sleep 0.05
    done
    kill -KILL "${pids[@]}" 2> /dev/null || true
    wait "${pids[@]}" 2> /dev/null || true
}
