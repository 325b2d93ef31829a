#pragma once

#include "core/http_message.h"
#include "core/routing_config.h"
#include "logic/gateway/exchange_trace.h"
#include "logic/gateway/gateway_events.h"
#include "logic/gateway/target_book.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace lagoondeck {

/// Where one group's part of an exchange stands.
enum class PartPhase {
    Waiting, ///< All replicas carry as much as they may.
    Running, ///< At least one attempt is out.
    Answered,
    Given, ///< Given up.
};

/// What one group owes to an exchange.
struct Part
{
    TargetGroup *group = nullptr;
    PartPhase phase = PartPhase::Waiting;
    std::vector<AttemptId> out;
    std::vector<TargetId> tried;
    /// Attempts that may have run, or may still run.
    std::uint32_t mayHaveRun = 0;
    /// Attempts whose arrival counts for the group's budget.
    std::uint32_t arrived = 0;
    std::uint32_t unsent = 0;
    /// Attempts whose connection broke while the target may have run them.
    std::uint32_t lost = 0;
    /// Until then the part waits for other members to lend it an extra arrival; Instant::min()
    /// while it has not asked.
    Instant loanUntil = Instant::min();
    /// When a second attempt is considered; Instant::max() for never.
    Instant hedgeAt = Instant::max();
    std::shared_ptr<const ForwardedReply> reply;
    /// The target's own failure, passed on when nothing better comes.
    std::shared_ptr<const ForwardedReply> failure;

    bool open() const
    {
        return this->phase == PartPhase::Waiting || this->phase == PartPhase::Running;
    }
};

/// One caller's request while it is served.
struct Exchange
{
    ExchangeId id;
    std::shared_ptr<const ForwardedRequest> request;
    /// The version of the configuration that it was admitted under.
    RoutingConfigPtr config;
    const Route *route = nullptr;
    LatencyModel *latency = nullptr;
    Instant arrivedAt {};
    /// From then on an answer is late.
    Instant objectiveAt {};
    /// From then on the caller does not wait any more.
    Instant deadlineAt {};
    /// How old the last word of the store was when the request came.
    Duration beliefAge {};
    ExchangeTrace trace;
    /// When its timer fires next.
    Instant lookAt = Instant::max();
    std::vector<Part> parts;

    void note(TraceKind kind, std::size_t part, TargetId target, Instant now)
    {
        this->trace.add({now - this->arrivedAt, kind, part, std::move(target)});
    }

    std::size_t answered() const
    {
        return static_cast<std::size_t>(
                std::ranges::count(this->parts, PartPhase::Answered, &Part::phase));
    }

    std::size_t openParts() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->parts, &Part::open));
    }

    /// Whether so many answered parts are enough for an answer.
    bool covers(std::size_t count) const
    {
        return count > 0
                && static_cast<double>(count)
                >= this->route->minimumCoverage * static_cast<double>(this->parts.size()) - 1e-9;
    }

    /// Some target may have run the request, or may still run it.
    bool mayHaveRun() const
    {
        return std::ranges::any_of(this->parts,
                                   [](const Part &part) { return part.mayHaveRun > 0; });
    }
};

/// One request at one target. It outlives its exchange until its connection is settled.
struct GatewayAttempt
{
    /// Empty when the exchange has been answered without it.
    std::optional<ExchangeId> exchange;
    std::size_t part = 0;
    /// Gone once the attempt has ended: the book may have dropped the target then.
    TargetNode *target = nullptr;
    TargetId targetId;
    LatencyModel *latency = nullptr;
    TargetGroup *group = nullptr;
    Instant sentAt {};
    Instant closeAt {};
};

} // namespace lagoondeck
