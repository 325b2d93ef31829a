#pragma once

#include "core/ids.h"
#include "core/store_change.h"
#include "logic/gateway/exchange_trace.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/limit_loans.h"
#include "logic/gateway/limit_reports.h"
#include "logic/gateway/target_limit.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

/// What a request at a limited target is for.
struct LimitUse
{
    /// How many more urgent priorities share the target.
    std::uint32_t urgencyRank = 0;
    /// Whether the request can be left out: a second attempt beside a running one, or a part that
    /// the answer can do without.
    bool isOptional = false;
};

/// Counts of the attempts at limited targets, by cause, since the process started.
struct LimitCounts
{
    std::uint64_t first = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    /// Parts for which no replica's limit left a request.
    std::uint64_t withheld = 0;
    /// Requests that other members lent.
    std::uint64_t borrowed = 0;
};

/// The limits that targets state for the requests of the whole fleet, and this instance's shares of
/// them.
///
/// Each limit is divided equally among the members, or among the coordinators if the target serves
/// gathered requests in a fleet with coordinators, because these send nearly all of its requests.
///
/// An instance that has no request left borrows one from a member that holds a share. What is lent
/// counts as used by the lender, so the sum over the fleet does not grow.
///
/// An instance that hears of a limit tells the other members, because each of them may meet the
/// target rarely, or may have started just now.
class TargetLimits
{
public:
    /// Sets the instance that these limits belong to.
    void setSelf(InstanceId id) { this->self = std::move(id); }
    void setMembers(std::vector<MemberRecord> known);
    void setCoordinators(std::vector<MemberRecord> known);

    /// Called for each reply of a target. `perSecond` is empty if the reply states no limit.
    /// `isGathered` is true if the target serves gathered requests.
    void onStated(const TargetId &target, bool isGathered, std::optional<double> perSecond,
                  GatewayContext &context);
    /// Called when a member reports what a target stated to it or to another member.
    void onReported(const StatedLimit &stated, bool isGathered, GatewayContext &context);
    /// Sets a limit that holds until the given time because the target is cold.
    void setCold(const TargetId &target, bool isGathered, double perSecond, Instant until);
    /// Returns whether the target is limited because it is cold.
    bool isCold(const TargetId &target, Instant now) const;
    /// Returns the limits that hold at present.
    std::vector<StatedLimit> stated(Instant now) const;
    /// Returns the limits of which the other members must be told now.
    std::vector<StatedLimit> takeDueReport(Instant now);
    /// Returns when takeDueReport() must be called next.
    Instant nextTimer() const { return this->reports.nextTimer(); }
    /// Drops what is known of a target that is gone.
    void forget(const TargetId &target) { this->limits.erase(target); }

    /// Returns true if no target has stated a limit.
    bool empty() const { return this->limits.empty(); }
    /// Returns the limit of the whole fleet in requests per second, or nothing if there is none.
    std::optional<double> perSecond(const TargetId &target, Instant now) const;
    /// Returns true if this instance may send a request to the target now.
    bool allows(const TargetId &target, const LimitUse &use, Instant now);
    /// Called when an attempt is sent to a target.
    void onSent(const TargetId &target, TraceKind cause, Instant now);
    /// Returns true if another member may lend a request at the target.
    bool mayRequestLoan(const TargetId &target, Instant now);
    /// Requests one request at the target from another member.
    void requestLoan(const TargetId &target, Instant now, RandomEngine &random);
    /// The requests for loans that are to be sent.
    LimitLoans &loans() { return this->limitLoans; }
    /// Lends a member what this instance does not need itself.
    LimitGrants lend(const std::vector<LimitWish> &wishes, Instant now);
    /// Called when a member lends requests, or refuses to. `age` is the time since the request for
    /// the loan.
    void onLent(const LimitLent &event, Duration age, Instant now);
    /// Called when a part is given up because of limits.
    void onWithheld() { ++this->limitCounts.withheld; }

    /// Returns how many targets are limited because they are cold.
    std::size_t coldCount(Instant now) const;
    /// Returns how many targets state a limit.
    std::size_t limitedCount(Instant now) const;
    const LimitCounts &counts() const { return this->limitCounts; }

private:
    /// Returns the limit of a target with this instance's present share, or null if there is none.
    TargetLimit *find(const TargetId &target, Instant now);

    InstanceId self;
    std::vector<MemberRecord> members;
    std::vector<MemberRecord> coordinators;
    /// Increases whenever the members or coordinators change.
    std::uint64_t memberRevision = 1;
    std::unordered_map<TargetId, TargetLimit> limits;
    LimitReports reports;
    LimitLoans limitLoans;
    LimitCounts limitCounts;
};

} // namespace lagoondeck
