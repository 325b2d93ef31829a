#include "drivers/edge/gateway_metrics.h"

#include "core/exposition_writer.h"

#include <string>
#include <string_view>

namespace lagoondeck {

namespace {

constexpr std::size_t maxRoutes = 64;

void writeGauge(ExpositionWriter &writer, std::string_view name, std::string_view help,
                double value)
{
    writer.begin(name, MetricKind::Gauge, help);
    writer.sample({}, value);
}

void writeCounter(ExpositionWriter &writer, std::string_view name, std::string_view help,
                  std::uint64_t value)
{
    writer.begin(name, MetricKind::Counter, help);
    writer.sample({}, value);
}

} // namespace

void GatewayMetrics::record(const ExchangeEnd &end)
{
    const bool known = this->routes.contains(end.route);
    const bool hasEntry = known || this->routes.size() < maxRoutes;
    RouteMetrics &route = this->routes[hasEntry && !end.route.empty() ? end.route : "other"];
    ++route.requestsByOutcome[static_cast<std::size_t>(end.outcome)];
    route.latency.add(end.elapsed);
    route.partsNeeded += end.partsNeeded;
    route.partsAnswered += end.partsAnswered;
}

std::string GatewayMetrics::page(const GatewayStatus &status, const EdgeCounts &counts,
                                 const DomainTraffic &traffic) const
{
    ExpositionWriter writer;
    writer.begin("lagoondeck_requests_total", MetricKind::Counter,
                 "Requests by route and outcome.");
    for (const auto &[name, route] : this->routes) {
        for (std::size_t i = 0; i < outcomeCount; ++i) {
            writer.sample({{"route", name}, {"outcome", toString(static_cast<ExchangeOutcome>(i))}},
                          route.requestsByOutcome[i]);
        }
    }
    writer.begin("lagoondeck_request_duration_seconds", MetricKind::Histogram,
                 "From a request's arrival to its answer, by route.");
    for (const auto &[name, route] : this->routes) {
        writer.sample({{"route", name}}, route.latency);
    }
    writer.begin("lagoondeck_parts_needed_total", MetricKind::Counter,
                 "Groups that requests needed, by route.");
    for (const auto &[name, route] : this->routes) {
        writer.sample({{"route", name}}, route.partsNeeded);
    }
    writer.begin("lagoondeck_parts_answered_total", MetricKind::Counter,
                 "Groups that answered in time, by route.");
    for (const auto &[name, route] : this->routes) {
        writer.sample({{"route", name}}, route.partsAnswered);
    }
    writer.begin("lagoondeck_attempts_total", MetricKind::Counter, "Attempts by their cause.");
    writer.sample({{"cause", "first"}}, status.counts.first);
    writer.sample({{"cause", "hedge"}}, status.counts.hedges);
    writer.sample({{"cause", "retry"}}, status.counts.retries);
    writer.begin("lagoondeck_attempt_ends_total", MetricKind::Counter,
                 "Attempts by how they ended.");
    writer.sample({{"end", "replied"}}, status.counts.replied);
    writer.sample({{"end", "unreachable"}}, status.counts.unreachable);
    writer.sample({{"end", "lost"}}, status.counts.lost);
    writer.sample({{"end", "malformed"}}, status.counts.malformed);
    writer.sample({{"end", "closed"}}, status.counts.closed);
    writeGauge(writer, "lagoondeck_target_path_up",
               "1 when the instance reaches targets; 0 while it asks other members to serve its "
               "requests.",
               status.path == PathState::Up ? 1 : 0);
    writeCounter(writer, "lagoondeck_help_requests_total",
                 "Requests that other members were asked to serve because the instance did not "
                 "reach the targets.",
                 status.delegation.helpRequested);
    if (status.targetReplyAge) {
        writeGauge(writer, "lagoondeck_target_reply_age_seconds", "Since a target replied last.",
                   std::chrono::duration<double>(*status.targetReplyAge).count());
    }
    writer.begin("lagoondeck_attempt_write_delay_seconds", MetricKind::Histogram,
                 "From the start of an attempt until its request was written.");
    writer.sample({}, this->writeDelays);
    writer.begin("lagoondeck_loop_iteration_seconds", MetricKind::Histogram,
                 "Iterations of the event loop, without the time that they waited for events.");
    writer.sample({}, this->iterationTimes);
    writeCounter(writer, "lagoondeck_attempts_without_budget_total",
                 "Hedges and retries that the budget did not allow.", status.counts.withoutBudget);
    writer.begin("lagoondeck_waiting_parts", MetricKind::Gauge,
                 "Parts that wait for a target, by how many more urgent priorities there are.");
    for (const auto &[rank, count] : status.waitingByRank) {
        writer.sample({{"rank", std::to_string(rank)}}, static_cast<double>(count));
    }
    writeCounter(writer, "lagoondeck_requests_refused_too_late_total",
                 "Requests that were refused because they could not be sent in time.",
                 status.counts.refusedTooLate);
    writeCounter(writer, "lagoondeck_parts_sent_by_guarantee_total",
                 "Parts that were sent before their turn so that no account is starved.",
                 status.sentByGuarantee);
    writeGauge(writer, "lagoondeck_targets_limited",
               "Targets that limit the requests of the whole fleet.",
               static_cast<double>(status.limitedTargets));
    writer.begin("lagoondeck_limited_attempts_total", MetricKind::Counter,
                 "Attempts at targets that limit their requests, by cause.");
    writer.sample({{"cause", "first"}}, status.limitedAttempts.first);
    writer.sample({{"cause", "hedge"}}, status.limitedAttempts.hedges);
    writer.sample({{"cause", "retry"}}, status.limitedAttempts.retries);
    writeCounter(writer, "lagoondeck_limited_parts_withheld_total",
                 "Parts that were given up because the limits of all replicas left no request.",
                 status.limitedAttempts.withheld);
    writeCounter(writer, "lagoondeck_limit_requests_borrowed_total",
                 "Requests at limited targets that other members lent.",
                 status.limitedAttempts.borrowed);
    writer.begin("lagoondeck_account_decisions_total", MetricKind::Counter,
                 "Requests of capped client accounts by what decided on them: a granted token, a "
                 "refusal, or, of both, the local allowance.");
    for (const auto &[account, decisions] : status.accountUsage) {
        writer.sample({{"account", account}, {"decision", "granted"}}, decisions.granted);
        writer.sample({{"account", account}, {"decision", "refused"}}, decisions.refused);
        writer.sample({{"account", account}, {"decision", "local"}}, decisions.local);
    }
    writeGauge(writer, "lagoondeck_domains_evacuated",
               "Failure domains to whose targets nothing is sent, by the operator's keys.",
               static_cast<double>(status.evacuatedDomains));
    writeGauge(writer, "lagoondeck_domains_lost",
               "Failure domains that don't answer this instance and are avoided.",
               static_cast<double>(status.lostDomains));
    writeGauge(writer, "lagoondeck_targets_cold",
               "Cold targets whose requests are limited for the whole fleet.",
               static_cast<double>(status.coldTargets));
    writer.begin("lagoondeck_choices_held_back_total", MetricKind::Counter,
                 "Choices of a target, or of none, in which replicas were left out, by reason.");
    writer.sample({{"reason", "evacuated"}}, status.placement.evacuated);
    writer.sample({{"reason", "lost"}}, status.placement.lost);
    writer.sample({{"reason", "cold"}}, status.placement.cold);
    writer.sample({{"reason", "region"}}, status.placement.farRegion);
    writeGauge(writer, "lagoondeck_coordinator",
               "1 when the instance is one of the fleet's coordinators.",
               status.isCoordinator ? 1 : 0);
    writeCounter(writer, "lagoondeck_queries_coordinated_total",
                 "Requests that were served for other members.", status.coordinated);
    writeCounter(writer, "lagoondeck_queries_delegated_total",
                 "Requests that were sent to another member.", status.delegation.delegated);
    writeCounter(writer, "lagoondeck_delegations_declined_total",
                 "Inquiries and requests that another member declined.",
                 status.delegation.declined);
    writeCounter(writer, "lagoondeck_delegations_silent_total",
                 "Inquiries and requests to which another member did not react in time.",
                 status.delegation.silent);
    writeCounter(writer, "lagoondeck_delegations_returned_total",
                 "Requests that no other member took.", status.delegation.returned);
    writeGauge(writer, "lagoondeck_ready", "1 when the instance takes callers.",
               status.ready ? 1 : 0);
    writeGauge(writer, "lagoondeck_stopping", "1 during a graceful stop.", status.stopping ? 1 : 0);
    writeGauge(writer, "lagoondeck_config_version", "The configuration in force.",
               static_cast<double>(status.configVersion));
    writeGauge(writer, "lagoondeck_belief_age_seconds", "Since the store was heard last.",
               std::chrono::duration<double>(status.storeDataAge).count());
    writeGauge(writer, "lagoondeck_store_history",
               "Increases each time that the store is restored from a copy.",
               static_cast<double>(status.storeHistory));
    writeGauge(writer, "lagoondeck_store_away", "1 while the store does not answer.",
               status.storeUnavailable ? 1 : 0);
    writeGauge(writer, "lagoondeck_targets", "Targets known.", static_cast<double>(status.targets));
    writeGauge(writer, "lagoondeck_members", "Entry instances registered.",
               static_cast<double>(status.members));
    writeGauge(writer, "lagoondeck_requests_in_flight", "Requests without an answer yet.",
               static_cast<double>(status.exchanges));
    writeGauge(writer, "lagoondeck_attempts_in_flight", "Requests out at targets.",
               static_cast<double>(status.attempts));
    writeGauge(writer, "lagoondeck_caller_connections", "Open connections of callers.",
               static_cast<double>(counts.callerConnections));
    writeGauge(writer, "lagoondeck_caller_held_bytes",
               "Bytes that connections of callers hold: requests and answers.",
               static_cast<double>(counts.callerBytes));
    writer.begin("lagoondeck_caller_connections_closed_total", MetricKind::Counter,
                 "Connections of callers that were closed to stay within the machine's bounds.");
    writer.sample({{"reason", "memory"}}, counts.evictions.forMemory);
    writer.sample({{"reason", "replaced"}}, counts.evictions.replaced);
    writer.sample({{"reason", "refused"}}, counts.evictions.refused);
    writeCounter(writer, "lagoondeck_accept_failures_total",
                 "Times that no connection could be accepted because no descriptor was free.",
                 counts.evictions.acceptFailures);
    writeCounter(writer, "lagoondeck_target_replies_evicted_total",
                 "Replies of targets that were given up because all together held too much.",
                 counts.repliesEvicted);
    writer.begin("lagoondeck_failed_steps_total", MetricKind::Counter,
                 "Steps of a thread that an exception ended, by thread.");
    for (const auto &[thread, count] : counts.failedSteps) {
        writer.sample({{"thread", thread}}, count);
    }
    writeCounter(writer, "lagoondeck_store_calls_total", "Calls to the store.", counts.storeCalls);
    writeCounter(writer, "lagoondeck_target_connections_opened_total",
                 "Connections made to targets.", counts.connectionsOpened);
    writeCounter(writer, "lagoondeck_target_requests_total", "Requests sent to targets.",
                 counts.requestsSent);
    writer.begin("lagoondeck_traffic_bytes_total", MetricKind::Counter,
                 "Bytes exchanged with targets and sent to members, by what they are for and by "
                 "whether they cross failure domains.");
    for (std::size_t i = 0; i < trafficKindCount; ++i) {
        const auto kind = static_cast<TrafficKind>(i);
        const DomainTraffic::Count &count = traffic.count(kind);
        writer.sample({{"kind", toString(kind)}, {"domain", "own"}}, count.inside);
        writer.sample({{"kind", toString(kind)}, {"domain", "other"}}, count.across);
    }
    writeCounter(writer, "lagoondeck_log_lines_dropped_total", "Log lines that were dropped.",
                 counts.logLinesDropped);
    return writer.text();
}

} // namespace lagoondeck
