#include "logic/gateway/target_limit.h"

#include "logic/gateway/limit_constants.h"
#include "logic/gateway/limit_holders.h"
#include "logic/placement/cold_share.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

/// A limit that was not stated again for this long, and for as long as the target needs for some
/// requests, is no longer trusted. Requests that are sent then find out.
constexpr Duration minLifetime = std::chrono::seconds(5);
constexpr double lifetimeInRequests = 6.0;
/// A member's report is older than a reply that this instance received so shortly before.
constexpr Duration reportDelay = std::chrono::milliseconds(300);
/// The other members are told again this often, for those that have started since.
constexpr Duration reportInterval = std::chrono::seconds(1);
/// A target that takes fewer requests than this gets them all the same, because only its replies
/// tell when the limit ends.
constexpr double minPerSecond = 0.25;
/// A target that got a request within this time is likely to get more.
constexpr Duration usePeriod = std::chrono::seconds(1);
/// After so many members in a row lent nothing, no other one is asked for a while.
constexpr std::size_t maxRefusals = 3;
constexpr Duration refusalPause = std::chrono::milliseconds(200);
/// While no member is known, the fleet is assumed to have so many instances.
constexpr double assumedInstances = 8.0;

} // namespace

LimitChange TargetLimit::set(std::optional<double> perSecond, Instant now)
{
    const bool wasLimited = this->statedPerSecond(now).has_value();
    const std::optional<double> previous = std::exchange(this->limit, perSecond);
    this->confirmedAt = now;
    if (!perSecond) {
        return wasLimited ? LimitChange::Ended : LimitChange::None;
    }
    if (!wasLimited) {
        this->begun = now;
        return LimitChange::Begun;
    }
    return previous == perSecond ? LimitChange::None : LimitChange::Changed;
}

LimitChange TargetLimit::onStated(std::optional<double> perSecond, Instant now)
{
    this->repliedAt = now;
    return this->set(perSecond, now);
}

LimitChange TargetLimit::onReported(std::optional<double> perSecond, Instant now)
{
    return now - this->repliedAt < reportDelay ? LimitChange::None : this->set(perSecond, now);
}

bool TargetLimit::needsReport(Instant now) const
{
    return this->limit != this->toldLimit || (this->limit && now - this->toldAt >= reportInterval);
}

void TargetLimit::onTold(std::optional<double> perSecond, Instant now)
{
    this->toldLimit = perSecond;
    this->toldAt = now;
}

void TargetLimit::divide(const std::vector<MemberRecord> &candidates, const TargetId &target,
                         const InstanceId &self, std::uint64_t revision, Instant now)
{
    this->dividedRevision = revision;
    this->dividedLimit = this->perSecond(now);
    this->dividedCold = this->coldPerSecond(now);
    if (this->dividedCold) {
        this->divideCold(candidates, target, self, *this->dividedCold, now);
        return;
    }
    const double rate = std::max(this->dividedLimit.value_or(0.0), minPerSecond);
    std::vector<MemberRecord> holders;
    double holderCount = assumedInstances;
    bool isHolder = true;
    if (!candidates.empty()) {
        holders = limitHolders(candidates, target, rate);
        holderCount = static_cast<double>(holders.size());
        isHolder = std::ranges::find(holders, self, &MemberRecord::id) != holders.end();
    }
    const double burst = rate * limits::burstTime.count() + limits::extraBurst;
    this->bucket.setShare(isHolder ? rate / holderCount : 0.0,
                          isHolder ? std::max(burst / holderCount, 1.0) : 0.0, now);
    this->setOtherHolders(holders, self);
}

void TargetLimit::divideCold(const std::vector<MemberRecord> &candidates, const TargetId &target,
                             const InstanceId &self, double coldLimit, Instant now)
{
    // The holders don't depend on a stated limit, of which some members may not know.
    const std::size_t maxHolders = coldHolderCount(coldLimit);
    const std::vector<MemberRecord> holders =
            limitHolders(candidates, target, static_cast<double>(maxHolders));
    // An instance that does not find itself among the members is not counted by the others either.
    const bool isHolder = std::ranges::find(holders, self, &MemberRecord::id) != holders.end();
    const ColdShare share = coldShare(coldLimit, this->dividedLimit.value_or(coldLimit),
                                      holders.size(), candidates.size());
    this->bucket.setShare(isHolder ? share.perSecond : 0.0, isHolder ? share.capacity : 0.0, now);
    this->setOtherHolders(holders, self);
}

void TargetLimit::setOtherHolders(const std::vector<MemberRecord> &all, const InstanceId &self)
{
    this->holders.clear();
    for (const MemberRecord &holder : all) {
        if (holder.id != self) {
            this->holders.push_back(holder.peerAddress);
        }
    }
}

void TargetLimit::setCold(double perSecond, Instant until)
{
    this->coldLimit = perSecond;
    this->coldUntil = until;
}

std::optional<double> TargetLimit::coldPerSecond(Instant now) const
{
    return now < this->coldUntil ? std::optional(this->coldLimit) : std::nullopt;
}

void TargetLimit::onSent(Instant now)
{
    this->sentAt = now;
    this->bucket.spend(now);
}

std::uint32_t TargetLimit::lend(std::uint32_t requested, Instant now)
{
    const bool isUsed = now - this->sentAt < usePeriod;
    const double reserve = isUsed ? std::clamp(this->bucket.capacity() - 1.0, 0.0, 1.0) : 0.0;
    return this->bucket.lend(requested, reserve, now);
}

void TargetLimit::onLent(std::uint32_t count, Instant until, Instant now)
{
    this->bucket.borrow(count, until);
    this->refusals = count > 0 ? 0 : this->refusals + 1;
    if (this->refusals >= std::min(maxRefusals, this->holders.size())) {
        this->refusals = 0;
        this->loanRefusedUntil = now + refusalPause;
    }
}

std::optional<double> TargetLimit::perSecond(Instant now) const
{
    const std::optional<double> stated = this->statedPerSecond(now);
    const std::optional<double> cold = this->coldPerSecond(now);
    return stated && cold ? std::min(stated, cold) : stated ? stated : cold;
}

std::optional<double> TargetLimit::statedPerSecond(Instant now) const
{
    if (!this->limit) {
        return std::nullopt;
    }
    const auto lifetime = std::max<std::chrono::duration<double>>(
            minLifetime,
            std::chrono::duration<double>(lifetimeInRequests
                                          / std::max(*this->limit, minPerSecond)));
    return now - this->confirmedAt < lifetime ? this->limit : std::nullopt;
}

} // namespace lagoondeck
