#pragma once

#include "core/answer.h"
#include "core/catalogue_entry.h"
#include "core/ids.h"
#include "logic/admission/caller_shares.h"
#include "logic/admission/decaying_count.h"
#include "logic/admission/service_load.h"
#include "logic/admission/token_bucket.h"
#include "logic/policy.h"
#include "logic/shares/node_limits.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

namespace lagoondeck {

struct CallerRequest;
struct Context;

/// The reason why a query was refused and the time after which the caller may retry.
struct Refusal
{
    FailureReason reason = FailureReason::Overloaded;
    Duration retryAfter {};
};

/// Decides which queries this instance admits: within the entry's limits and the capacity of the
/// service, higher priorities first, and divided fairly between the callers of an entry.
class Admission
{
public:
    /// Returns this instance's current share of an entry's limits.
    using LimitsProvider = std::function<NodeLimits(const CatalogueEntry &)>;

    /// Without a provider this instance applies the entry's full limits.
    explicit Admission(Policy policy, LimitsProvider limitsProvider = nullptr);

    /// Admits the query and counts it as in flight, or returns why it is refused. A refused query
    /// does not count as in flight.
    std::optional<Refusal> admit(const CallerRequest &request, const CatalogueEntry &entry,
                                 Context &context);
    /// Called when an admitted query has ended with an answer or a failure.
    void onFinished(const EntryName &entry, const Answer &answer, Context &context);

    /// Returns true while queries of the entry are being refused. Nothing optional, such as a
    /// hedge, should be sent then.
    bool isOverloaded(const EntryName &entry) const;
    std::uint32_t inFlight(const EntryName &entry) const;
    /// Returns the rate at which callers send queries of the entry, in queries per second, whether
    /// they are admitted or refused.
    double offeredRate(const EntryName &entry, Instant now) const;
    /// Returns how many queries would be in flight if every offered query were admitted.
    double offeredConcurrency(const EntryName &entry, Instant now) const;

private:
    struct EntryLoad
    {
        ServiceName service;
        std::uint32_t priority = 0;
        Duration deadline {};
        TokenBucket rateLimiter;
        std::uint32_t inFlight = 0;
        CallerShares callers;
        DecayingCount offered;
        DecayingCount refused;
        std::optional<Instant> lastRefusedAt;
        Instant lastOfferedAt {};
    };

    EntryLoad &loadOf(const CatalogueEntry &entry, Instant now);
    std::optional<FailureReason> refusalReason(const CallerRequest &request,
                                               const CatalogueEntry &entry, EntryLoad &load,
                                               Context &context);
    std::optional<FailureReason> exceededLimit(const CatalogueEntry &entry, EntryLoad &load,
                                               Instant now) const;
    Refusal refuse(EntryLoad &load, FailureReason reason, Context &context) const;

    Policy policy;
    LimitsProvider limitsProvider;
    std::unordered_map<EntryName, EntryLoad> loads;
    std::unordered_map<ServiceName, ServiceLoad> services;
};

} // namespace lagoondeck
