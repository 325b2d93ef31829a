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

/// Why a query is not taken, and when it may come again.
struct Refusal
{
    FailureReason reason = FailureReason::Overloaded;
    Duration retryAfter {};
};

/// Decides which queries this instance takes: within the entry's limits, within what the service
/// bears, the higher priorities first, and fairly between the callers of an entry.
class Admission
{
public:
    /// Tells this instance's part of an entry's limits now.
    using ShareOf = std::function<NodeLimits(const CatalogueEntry &)>;

    /// Without shares the whole limits are this instance's.
    explicit Admission(Policy policy, ShareOf shareOf = nullptr);

    /// Counts the query as in flight when it is taken; refused otherwise, without any effect.
    std::optional<Refusal> admit(const CallerRequest &request, const CatalogueEntry &entry,
                                 Context &context);
    /// The query was answered.
    void finished(const EntryName &entry, const Answer &answer, Context &context);

    /// The entry's queries are being refused or wait long; nothing optional is to be sent.
    bool overloaded(const EntryName &entry) const;
    std::uint32_t inFlight(const EntryName &entry) const;
    /// What callers asked of the entry, in queries a second.
    double offeredRate(const EntryName &entry, Instant now) const;
    /// What would be in flight if all of it were admitted.
    double wantedConcurrency(const EntryName &entry, Instant now) const;

private:
    struct EntryLoad
    {
        ServiceName service;
        std::uint32_t priority = 0;
        Duration deadline {};
        TokenBucket rate;
        std::uint32_t inFlight = 0;
        CallerShares callers;
        DecayingCount offered;
        DecayingCount refused;
        std::optional<Instant> lastRefusal;
        Instant lastSeen {};
    };

    EntryLoad &loadOf(const CatalogueEntry &entry, Instant now);
    std::optional<FailureReason> reasonToRefuse(const CallerRequest &request,
                                                const CatalogueEntry &entry, EntryLoad &load,
                                                Context &context);
    std::optional<FailureReason> overLimits(const CatalogueEntry &entry, EntryLoad &load,
                                            Instant now) const;
    Refusal refuse(EntryLoad &load, FailureReason reason, Context &context) const;

    Policy policy;
    ShareOf shareOf;
    std::unordered_map<EntryName, EntryLoad> loads;
    std::unordered_map<ServiceName, ServiceLoad> services;
};

} // namespace lagoondeck
