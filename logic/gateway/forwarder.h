#pragma once

#include "logic/gateway/budget_loans.h"
#include "logic/gateway/crash_book.h"
#include "logic/gateway/exchange.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/route_table.h"
#include "logic/gateway/split_choice.h"
#include "logic/gateway/target_book.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoondeck {

/// Attempts by their cause, since the start.
struct ForwarderCounts
{
    std::uint64_t first = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t withoutBudget = 0;
};

/// Carries callers' requests to targets: choice, waiting, second attempts, and the answer.
class Forwarder
{
public:
    /// Of the requests that are served well one in so many is logged; 0 for none.
    Forwarder(TargetBook &book, RetryAllowance allowance, std::uint64_t sampleOneIn);

    void start(ExchangeId id, std::shared_ptr<const ForwardedRequest> request,
               const RouteTable &routes, Duration beliefAge, GatewayContext &context);
    void onReply(const AttemptReplied &event, GatewayContext &context);
    void onEnded(const AttemptEnded &event, GatewayContext &context);
    void onCallerLeft(ExchangeId id, GatewayContext &context);
    void onTimer(GatewayContext &context);
    /// Sends what waited for extra arrivals that a member lends.
    void onLent(const BudgetLent &event, GatewayContext &context);

    /// When onTimer() is to be called next.
    Instant nextTimer() const;
    std::size_t exchangesInFlight() const { return this->exchanges.size(); }
    std::size_t attemptsInFlight() const { return this->attempts.size(); }
    const ForwarderCounts &counts() const { return this->count; }
    /// A member saw a request that may crash targets.
    void onCrash(const CrashSighting &sighting, GatewayContext &context);
    /// What this instance saw since the last call, for the members.
    std::vector<CrashSighting> takeCrashes() { return std::exchange(this->seenCrashes, {}); }
    CrashBook &crashes() { return this->crashBook; }
    BudgetLoans &loans() { return this->budgetLoans; }

private:
    enum class TimerKind { Exchange, Attempt };
    struct Due
    {
        Instant at {};
        TimerKind kind = TimerKind::Exchange;
        std::uint64_t key = 0;

        bool operator>(const Due &other) const { return this->at > other.at; }
    };
    struct WaitingPart
    {
        ExchangeId exchange;
        std::size_t part = 0;
    };

    Exchange *find(ExchangeId id);
    LatencyModel &latencyOf(const Route &route);

    // Sending.

    /// Sends the part's next attempt, lets it wait or gives it up.
    void dispatch(Exchange &exchange, std::size_t index, TraceKind kind, GatewayContext &context);
    void sendTo(Exchange &exchange, std::size_t index, TargetNode &target, TraceKind kind,
                GatewayContext &context);
    void hedge(Exchange &exchange, std::size_t index, GatewayContext &context);
    /// After an attempt came to nothing: another one, or the end of the part.
    void retry(Exchange &exchange, std::size_t index, GatewayContext &context);
    void pump(TargetGroup &group, GatewayContext &context);
    Instant hedgeTime(const Exchange &exchange, Instant now) const;
    /// Asks other members for an extra arrival. The part waits for it a little; only once.
    void seekBudget(Exchange &exchange, std::size_t index, GatewayContext &context);
    /// Whether the other parts suffice without this one.
    bool spareable(const Exchange &exchange, const Part &part) const;

    // Ending.

    /// Answers the exchange when nothing is left to wait for.
    void review(ExchangeId id, GatewayContext &context);
    void look(Exchange &exchange, GatewayContext &context);
    void finish(Exchange &exchange, CallerReply reply, EndReason reason, GatewayContext &context);
    void fail(Exchange &exchange, GatewayContext &context);
    /// Whether the request crashed its targets, or shows that it does not.
    void judgeCrashes(const Exchange &exchange, GatewayContext &context);
    /// Answers a request that crashes targets; false when it may run.
    bool refuseQuarantined(ExchangeId id, const ForwardedRequest &request, GatewayContext &context);
    ExchangeEnd endOf(const Exchange &exchange, EndReason reason, int status, Instant now) const;
    void release(Exchange &exchange, Instant closeAt, GatewayContext &context);
    GatewayAttempt takeAttempt(AttemptId id, TargetOutcome outcome, GatewayContext &context);
    void closeLate(AttemptId id, GatewayContext &context);

    TargetBook &book;
    RetryAllowance allowance;
    std::uint64_t sampleOneIn;
    ForwarderCounts count;
    SplitChoice splits;
    std::unordered_map<std::string, std::unique_ptr<LatencyModel>> latencies;
    std::unordered_map<ExchangeId, Exchange> exchanges;
    std::unordered_map<AttemptId, GatewayAttempt> attempts;
    std::unordered_map<GroupName, std::deque<WaitingPart>> waiting;
    /// Parts that wait for a loan.
    std::unordered_map<GroupName, std::deque<WaitingPart>> withoutBudget;
    BudgetLoans budgetLoans;
    CrashBook crashBook;
    std::vector<CrashSighting> seenCrashes;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> timers;
};

} // namespace lagoondeck
