# Injects the faults of each scenario while the load runs. Needs misc/cell.sh; sets no variables.

services_of_site() { sed -En 's/.*"name": "([^"]+)".*/\1/p' "misc/settings/${site}_topology.json"; }

# Makes a tenth of each service's targets, at least one, ten times slower; all load reports lag.
slow_tenth_of_targets() {
    control_targets '{"action":"report","lagMs":5000}'
    for service in $(services_of_site); do
        echo "bench: slowed of $service: $(curl -sf \
            -d "{\"action\":\"slow\",\"service\":\"$service\",\"fraction\":0.1,\"factor\":10}" \
            "http://$targets_control/v1/control")"
    done
}

# Replaces a third of each service's targets: they leave, stop and restart with cold caches.
replace_third() {
    local round="\"round\":$1,\"rounds\":3" leaving
    leaving=$(curl -sf -d "{\"action\":\"leave\",$round}" "http://$targets_control/v1/control" | sed 's/"targets"/"leaving"/')
    control_instances "$leaving"
    sleep 1
    control_targets "{\"action\":\"crash\",\"downMs\":200,$round}"
    control_instances "$(sed 's/"leaving"/"remove"/' <<< "$leaving")"
    sleep 0.4
    control_instances "$(curl -sf -d "{\"action\":\"list\",$round}" "http://$targets_control/v1/control")"
    sleep 1.2
}

# Replaces every entry instance: a new one is ready before an old one stops.
replace_entries() {
    for number in 0 1 2 3 4 5; do
        start_entry "$((number + 6))"
        wait_entry_ready "$((number + 6))"
        stop_entry "$number" || echo "bench: entry-$number stopped with an error"
    done
}

# Prepares a scenario before the first query. The poison body must crash targets from the start, so
# that no instance ever sees it succeed.
prepare() {
    if [ "$1" = poison ]; then
        control_targets '{"action":"poison","text":"crashes-its-target","downMs":60000}'
    fi
}

inject_faults() {
    sleep 0.5
    case $1 in
        slowed | crest-slowed) slow_tenth_of_targets ;;
        store-down) control_store '{"outage":true}' ;;
        rolling)
            (for third in 0 1 2; do replace_third "$third"; done) &
            local targets=$!
            replace_entries
            wait "$targets"
            ;;
    esac
}
