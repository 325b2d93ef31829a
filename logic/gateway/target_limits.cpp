#include "logic/gateway/target_limits.h"

#include "logic/placement/cold_share.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>
#include <string>
#include <utility>

namespace lagoondeck {

namespace {

/// The tokens that a request that can be left out leaves to the others.
constexpr double reserveForNeeded = 1.0;

/// Returns the tokens that a request must leave to more urgent ones.
double reserveFor(const LimitUse &use, double capacity)
{
    // A full bucket allows every request, so that no part of the limit remains unused.
    const double rest = std::max(capacity - 1.0, 0.0);
    const double rank = use.urgencyRank;
    const double forUrgent = std::min(rest, std::max(rank, rest * rank / (rank + 1.0)));
    return use.isOptional ? std::max(forUrgent, std::min(rest, reserveForNeeded)) : forUrgent;
}

std::string rateText(double perSecond)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3g", perSecond);
    return text.data();
}

void logChange(const TargetId &target, const TargetLimit &limit, LimitChange change,
               GatewayContext &context)
{
    if (change == LimitChange::Ended) {
        context.log(LogEvent::TargetLimitEnded,
                    {{"target", target.value},
                     numberField("ms", toMilliseconds(context.now - limit.begunAt()))});
    } else if (change != LimitChange::None) {
        context.log(LogEvent::TargetLimited,
                    {{"target", target.value},
                     {"perSecond", rateText(limit.statedPerSecond(context.now).value_or(0.0))}});
    }
}

} // namespace

void TargetLimits::setMembers(std::vector<MemberRecord> known)
{
    this->members = std::move(known);
    ++this->memberRevision;
}

void TargetLimits::setCoordinators(std::vector<MemberRecord> known)
{
    if (known != this->coordinators) {
        this->coordinators = std::move(known);
        ++this->memberRevision;
    }
}

void TargetLimits::onStated(const TargetId &target, bool isGathered,
                            std::optional<double> perSecond, GatewayContext &context)
{
    if (!perSecond && !this->limits.contains(target)) {
        return;
    }
    TargetLimit &limit = this->limits.try_emplace(target, isGathered).first->second;
    logChange(target, limit, limit.onStated(perSecond, context.now), context);
    if (limit.needsReport(context.now)) {
        this->reports.add(target, perSecond, context.now, context.random);
    }
}

void TargetLimits::onReported(const StatedLimit &stated, bool isGathered, GatewayContext &context)
{
    if (!stated.perSecond && !this->limits.contains(stated.target)) {
        return;
    }
    TargetLimit &limit = this->limits.try_emplace(stated.target, isGathered).first->second;
    logChange(stated.target, limit, limit.onReported(stated.perSecond, context.now), context);
    limit.onTold(stated.perSecond, context.now);
    if (!limit.needsReport(context.now)) {
        this->reports.cancel(stated.target);
    }
}

void TargetLimits::setCold(const TargetId &target, bool isGathered, double perSecond, Instant until)
{
    this->limits.try_emplace(target, isGathered).first->second.setCold(perSecond, until);
}

bool TargetLimits::isCold(const TargetId &target, Instant now) const
{
    const auto found = this->limits.find(target);
    return found != this->limits.end() && found->second.coldPerSecond(now).has_value();
}

std::size_t TargetLimits::coldCount(Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->limits, [now](const auto &entry) {
        return entry.second.coldPerSecond(now).has_value();
    }));
}

std::vector<StatedLimit> TargetLimits::stated(Instant now) const
{
    std::vector<StatedLimit> stated;
    for (const auto &[target, limit] : this->limits) {
        if (const auto perSecond = limit.statedPerSecond(now)) {
            stated.push_back({target, perSecond});
        }
        if (const auto cold = limit.coldPerSecond(now)) {
            stated.push_back({target, cold, limit.coldEnd() - now});
        }
    }
    return stated;
}

std::vector<StatedLimit> TargetLimits::takeDueReport(Instant now)
{
    std::vector<StatedLimit> due = this->reports.takeDue(now);
    for (const StatedLimit &stated : due) {
        if (const auto found = this->limits.find(stated.target); found != this->limits.end()) {
            found->second.onTold(stated.perSecond, now);
        }
    }
    return due;
}

TargetLimit *TargetLimits::find(const TargetId &target, Instant now)
{
    const auto found = this->limits.find(target);
    if (found == this->limits.end() || !found->second.perSecond(now)) {
        return nullptr;
    }
    TargetLimit &limit = found->second;
    if (limit.needsDivision(this->memberRevision, now)) {
        const bool isCoordinated = limit.isGathered() && !this->coordinators.empty();
        limit.divide(isCoordinated ? this->coordinators : this->members, target, this->self,
                     this->memberRevision, now);
    }
    return &limit;
}

std::optional<double> TargetLimits::perSecond(const TargetId &target, Instant now) const
{
    const auto found = this->limits.find(target);
    return found == this->limits.end() ? std::nullopt : found->second.perSecond(now);
}

bool TargetLimits::allows(const TargetId &target, const LimitUse &use, Instant now)
{
    const TargetLimit *limit = this->find(target, now);
    return limit == nullptr || limit->bucket.allows(reserveFor(use, limit->bucket.capacity()), now);
}

void TargetLimits::onSent(const TargetId &target, TraceKind cause, Instant now)
{
    if (TargetLimit *limit = this->find(target, now)) {
        limit->onSent(now);
        this->limitCounts.first += cause == TraceKind::Send ? 1 : 0;
        this->limitCounts.hedges += cause == TraceKind::Hedge ? 1 : 0;
        this->limitCounts.retries += cause == TraceKind::Retry ? 1 : 0;
    }
}

bool TargetLimits::mayRequestLoan(const TargetId &target, Instant now)
{
    const TargetLimit *limit = this->find(target, now);
    return limit != nullptr && !limit->otherHolders().empty() && limit->mayRequestLoan(now);
}

void TargetLimits::requestLoan(const TargetId &target, Instant now, RandomEngine &random)
{
    if (const TargetLimit *limit = this->find(target, now)) {
        const std::vector<std::string> &holders = limit->otherHolders();
        std::uniform_int_distribution<std::size_t> any(0, holders.size() - 1);
        this->limitLoans.add(holders[any(random)], target, *limit->perSecond(now));
    }
}

LimitGrants TargetLimits::lend(const std::vector<LimitWish> &wishes, Instant now)
{
    LimitGrants lent;
    for (const LimitWish &wish : wishes) {
        TargetLimit *limit = this->find(wish.target, now);
        lent[wish.target] = limit == nullptr ? 0 : limit->lend(wish.count, now);
    }
    return lent;
}

void TargetLimits::onLent(const LimitLent &event, Duration age, Instant now)
{
    for (const auto &[target, lent] : event.lent) {
        if (TargetLimit *limit = this->find(target, now)) {
            const bool isCold = limit->coldPerSecond(now).has_value();
            const std::uint32_t count = isCold && age > maxColdLoanDelay ? 0 : lent;
            const Duration validFor =
                    isCold ? std::min(event.validFor, coldLoanLifetime) : event.validFor;
            limit->onLent(count, now + validFor, now);
            this->limitCounts.borrowed += count;
        }
    }
}

std::size_t TargetLimits::limitedCount(Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->limits, [now](const auto &entry) {
        return entry.second.statedPerSecond(now).has_value();
    }));
}

} // namespace lagoondeck
