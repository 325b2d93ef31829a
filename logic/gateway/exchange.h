#pragma once

#include "core/http_message.h"
#include "core/routing_config.h"
#include "logic/gateway/admitted_request.h"
#include "logic/gateway/exchange_trace.h"
#include "logic/gateway/gateway_events.h"
#include "logic/gateway/target_registry.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace lagoondeck {

/// The state of one group's part of an exchange.
enum class PartPhase {
    Waiting,   ///< Queued until a replica has capacity or a member lends budget.
    Borrowing, ///< Waits for a member to lend a request at a limited replica.
    Running,   ///< At least one attempt is running.
    Answered,
    Abandoned, ///< No further attempt is made.
};

/// One group's part of an exchange. A gathered exchange has one part per group, any other exchange
/// has a single part.
struct Part
{
    TargetGroup *group = nullptr;
    PartPhase phase = PartPhase::Waiting;
    std::vector<AttemptId> runningAttempts;
    std::vector<TargetId> triedTargets;
    /// How many attempts may have run at their target or may still run.
    std::uint32_t possibleRuns = 0;
    /// How many attempts reached a target of the group or may have reached one. Each one after the
    /// first is an extra arrival, which counts against the group's retry budget.
    std::uint32_t arrivedAttempts = 0;
    /// How many attempts failed because no connection could be made.
    std::uint32_t failedConnects = 0;
    /// How many attempts lost their connection after their target may have run them.
    std::uint32_t lostConnections = 0;
    /// Whether the part was given up because of the limits of its replicas.
    bool limitReached = false;
    /// Whether the part waits in the queue of its group.
    bool isQueued = false;
    /// Whether the part was given up because the parts ahead of it in the queue take too long.
    bool isTooLate = false;
    /// Whether the part was given up because it was queued for as long as it may be.
    bool queueTimePassed = false;
    /// Until when the part waits for another member to lend an extra arrival. Instant::min() if no
    /// loan was requested.
    Instant loanDeadline = Instant::min();
    /// Whether a request at a limited replica was requested from another member for the next
    /// attempt, and until when the part waits for it.
    bool limitLoanRequested = false;
    Instant limitLoanDeadline {};
    /// When a hedge is considered; Instant::max() for never.
    Instant hedgeAt = Instant::max();
    std::shared_ptr<const ForwardedReply> reply;
    /// A target's own failure reply, passed on if no attempt succeeds.
    std::shared_ptr<const ForwardedReply> failure;

    bool isOpen() const
    {
        return this->phase == PartPhase::Waiting || this->phase == PartPhase::Borrowing
                || this->phase == PartPhase::Running;
    }
};

/// A request with all its attempts, while it is being served. All parts use one version of the
/// configuration.
struct Exchange : AdmittedRequest
{
    LatencyModel *latency = nullptr;
    ExchangeTrace trace;
    /// Until when this instance may send attempts. The member that delegated the request serves it
    /// in another way after that.
    Instant permittedUntil = Instant::max();
    /// When the member that delegated the request is told that it is still being served.
    Instant nextReceiptAt = Instant::max();
    /// When the exchange's next timer fires.
    Instant nextCheckAt = Instant::max();
    std::vector<Part> parts;
    /// The targets that said in a reply that they are leaving.
    std::vector<TargetId> leavingTargets;

    /// Adds a step to the trace that is logged when the exchange ends.
    void recordStep(TraceKind kind, std::size_t part, TargetId target, Instant now)
    {
        this->trace.add({now - this->arrivedAt, kind, part, std::move(target)});
    }

    std::size_t answeredPartCount() const
    {
        return static_cast<std::size_t>(
                std::ranges::count(this->parts, PartPhase::Answered, &Part::phase));
    }

    std::size_t openPartCount() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->parts, &Part::isOpen));
    }

    /// Returns true if `count` answered parts reach the route's minimum coverage.
    bool meetsMinimumCoverage(std::size_t count) const
    {
        return count > 0
                && static_cast<double>(count)
                >= this->route->minimumCoverage * static_cast<double>(this->parts.size()) - 1e-9;
    }

    /// Returns true if some target may have run the request or may still run it.
    bool mayHaveRun() const
    {
        return std::ranges::any_of(this->parts,
                                   [](const Part &part) { return part.possibleRuns > 0; });
    }
};

/// One request at one target. An attempt outlives its exchange until its target replies or its
/// connection is closed.
struct GatewayAttempt
{
    /// Empty if the exchange ended before the attempt.
    std::optional<ExchangeId> exchange;
    std::size_t part = 0;
    /// Null once the attempt has ended, because the target may have been removed by then.
    TargetNode *target = nullptr;
    TargetId targetId;
    LatencyModel *latency = nullptr;
    TargetGroup *group = nullptr;
    Instant sentAt {};
    /// When the connection is closed if the target has not replied.
    Instant closeAt {};
};

} // namespace lagoondeck
