#pragma once

#include "core/store_change.h"
#include "core/time.h"
#include "logic/gateway/limit_bucket.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

/// How a target's limit changed.
enum class LimitChange {
    None,
    Begun,
    Changed,
    Ended,
};

/// What this instance knows of the request rate that one target takes from the whole fleet, and its
/// own share of that rate.
///
/// A target in need states its limit in its replies, for as long as it is in need.
class TargetLimit
{
public:
    /// `isGathered` is true if the target serves gathered requests.
    explicit TargetLimit(bool isGathered) : gathered(isGathered) { }

    /// Called for each reply of the target. `perSecond` is empty if the reply states no limit.
    LimitChange onStated(std::optional<double> perSecond, Instant now);
    /// Called when a member reports what the target stated to it or to another member.
    LimitChange onReported(std::optional<double> perSecond, Instant now);
    /// Returns true if the other members should be told what the target states.
    bool needsReport(Instant now) const;
    /// Called when this instance or a member tells the others what the target states.
    void onTold(std::optional<double> perSecond, Instant now);
    /// Sets the limit that holds until the given time because the target is cold.
    void setCold(double perSecond, Instant until);
    /// Returns the limit that holds because the target is cold, or nothing if it is not.
    std::optional<double> coldPerSecond(Instant now) const;
    Instant coldEnd() const { return this->coldUntil; }
    /// Returns the limit that the target states, or nothing if there is none.
    std::optional<double> statedPerSecond(Instant now) const;
    /// Returns the limit of the whole fleet in requests per second, which is the smaller one of the
    /// stated and the cold limit, or nothing if there is none.
    std::optional<double> perSecond(Instant now) const;
    /// Returns when the present limit began.
    Instant begunAt() const { return this->begun; }
    bool isGathered() const { return this->gathered; }

    /// Divides the limit among the candidates. `revision` is that of the candidates.
    void divide(const std::vector<MemberRecord> &candidates, const TargetId &target,
                const InstanceId &self, std::uint64_t revision, Instant now);
    /// Returns true if the limit or the candidates have changed since the limit was divided.
    bool needsDivision(std::uint64_t revision, Instant now) const
    {
        return this->dividedRevision != revision || this->dividedLimit != this->perSecond(now)
                || this->dividedCold != this->coldPerSecond(now);
    }
    /// Returns the peer addresses of the other members among which the limit is divided.
    const std::vector<std::string> &otherHolders() const { return this->holders; }
    /// Called when this instance sends a request to the target.
    void onSent(Instant now);
    /// Lends requests to another member. Keeps one back while this instance sends some itself.
    std::uint32_t lend(std::uint32_t requested, Instant now);
    /// Returns true if a request for a loan has a chance: none was refused just now.
    bool mayRequestLoan(Instant now) const { return now >= this->loanRefusedUntil; }
    /// Called when a member lends requests, or refuses to.
    void onLent(std::uint32_t count, Instant until, Instant now);

    /// This instance's share.
    LimitBucket bucket;

private:
    LimitChange set(std::optional<double> perSecond, Instant now);
    void divideCold(const std::vector<MemberRecord> &candidates, const TargetId &target,
                    const InstanceId &self, double coldLimit, Instant now);
    void setOtherHolders(const std::vector<MemberRecord> &all, const InstanceId &self);

    bool gathered;
    std::optional<double> limit;
    Instant begun {};
    /// When the limit was stated last.
    Instant confirmedAt {};
    /// When the target replied to this instance last.
    Instant repliedAt {};
    /// What the other members were told last, and when.
    std::optional<double> toldLimit;
    Instant toldAt {};
    std::vector<std::string> holders;
    Instant sentAt {};
    /// How many members in a row lent nothing, and until when no other one is asked.
    std::size_t refusals = 0;
    Instant loanRefusedUntil {};
    std::uint64_t dividedRevision = 0;
    std::optional<double> dividedLimit;
    std::optional<double> dividedCold;
    double coldLimit = 0.0;
    Instant coldUntil {};
};

} // namespace lagoondeck
