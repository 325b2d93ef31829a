// The part of TargetRegistry that chooses among the replicas of a group.

#include "logic/gateway/target_registry.h"
#include "logic/placement/target_cost.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

namespace lagoondeck {

namespace {

/// The fraction of a target's connection cap that is divided among the instances. The rest is a
/// safety margin for instances that disagree about the fleet size and for instances that replace
/// each other.
constexpr double sharedCapFraction = 0.85;
/// In a fleet with coordinators, the fraction of the cap that is divided among them. They send
/// nearly all requests.
constexpr double coordinatorCapFraction = 0.6;
/// The wait for a loan of a request at a limited target.
constexpr double loanCostMs = 10.0;
/// If more replicas than this are available, only two random ones are compared.
constexpr std::size_t maxCompared = 4;

template <typename Range>
auto pickRandom(Range &range, RandomEngine &random)
{
    std::uniform_int_distribution<std::size_t> any(0, range.size() - 1);
    return range.begin() + static_cast<std::ptrdiff_t>(any(random));
}

} // namespace

bool TargetRegistry::hasCapacity(const TargetNode &target, const TargetGroup &group) const
{
    const double share = this->isCoordinator ? group.connectionCap * coordinatorCapFraction
                    / static_cast<double>(this->coordinatorCount)
                                             : group.connectionCap
                    * (this->coordinatorCount > 0 ? sharedCapFraction - coordinatorCapFraction
                                                  : sharedCapFraction)
                    / static_cast<double>(std::max<std::size_t>(this->instances, 1));
    return target.inFlight < std::max<std::uint32_t>(static_cast<std::uint32_t>(share), 1U);
}

void TargetRegistry::requestLoan(const TargetGroup &group, Instant now, RandomEngine &random)
{
    std::vector<const TargetNode *> replicas;
    std::ranges::copy_if(group.targets, std::back_inserter(replicas),
                         [&](const TargetNode *target) {
                             return target->usable && now >= target->pausedUntil
                                     && this->targetLimits.mayRequestLoan(target->record.id, now);
                         });
    if (!replicas.empty()) {
        this->targetLimits.requestLoan((*pickRandom(replicas, random))->record.id, now, random);
    }
}

ChoiceProblem TargetRegistry::restrictionProblem(TargetGroup &group, const LimitUse &use,
                                                 const RegionRule &rule, Instant now)
{
    ChoiceProblem problem = ChoiceProblem::NoTarget;
    for (const TargetNode *target : group.targets) {
        if (!target->usable
            || !rule.allowsTargetsIn(target->record.failureDomain, this->domainRegions)) {
            continue;
        }
        if (now < target->pausedUntil) {
            problem = std::max(problem, ChoiceProblem::Paused);
            continue;
        }
        if (this->targetLimits.allows(target->record.id, use, now)) {
            return ChoiceProblem::None;
        }
        problem = ChoiceProblem::Limited;
    }
    return problem;
}

TargetChoice TargetRegistry::choose(TargetGroup &group, const ChoiceTerms &terms, Instant now,
                                    RandomEngine &random)
{
    std::vector<TargetNode *> available;
    std::vector<TargetNode *> limited;
    TargetNode *earliestAvoided = nullptr;
    ChoiceProblem problem = ChoiceProblem::NoTarget;
    bool skipsEvacuated = false;
    bool skipsLost = false;
    bool skipsFar = false;
    bool skipsCold = false;
    TargetNode *lostTarget = nullptr;
    for (TargetNode *target : group.targets) {
        skipsEvacuated = skipsEvacuated || this->evacuations.contains(target->record.failureDomain);
        if (!target->usable
            || std::ranges::find(terms.excluded, target->record.id) != terms.excluded.end()) {
            continue;
        }
        if (!terms.regions.allowsTargetsIn(target->record.failureDomain, this->domainRegions)) {
            skipsFar = true;
        } else if (now < target->pausedUntil) {
            problem = std::max(problem, ChoiceProblem::Paused);
        } else if (!this->targetLimits.allows(target->record.id, terms.limitUse, now)) {
            problem = std::max(problem, ChoiceProblem::Limited);
            skipsCold = skipsCold || this->targetLimits.isCold(target->record.id, now);
            if (this->hasCapacity(*target, group)
                && this->targetLimits.mayRequestLoan(target->record.id, now)) {
                limited.push_back(target);
            }
        } else if (!this->hasCapacity(*target, group)) {
            problem = std::max(problem, ChoiceProblem::Busy);
        } else if (this->lostDomains.isAvoided(target->record.failureDomain, now)) {
            skipsLost = true;
            if (lostTarget == nullptr || target->avoidUntil < lostTarget->avoidUntil) {
                lostTarget = target;
            }
        } else if (now < target->avoidUntil) {
            problem = ChoiceProblem::Avoided;
            if (earliestAvoided == nullptr || target->avoidUntil < earliestAvoided->avoidUntil) {
                earliestAvoided = target;
            }
        } else {
            available.push_back(target);
        }
    }
    this->counts.evacuated += skipsEvacuated ? 1 : 0;
    this->counts.lost += skipsLost ? 1 : 0;
    this->counts.farRegion += skipsFar ? 1 : 0;
    this->counts.cold += skipsCold ? 1 : 0;
    if (lostTarget != nullptr && available.empty() && problem != ChoiceProblem::Avoided
        && problem != ChoiceProblem::Busy) {
        // A target of a lost domain is the only one that is left.
        problem = ChoiceProblem::Avoided;
        earliestAvoided = lostTarget;
    }
    const CostedTarget best = this->cheapest(std::move(available), terms.latency, now, random);
    if (best.target != nullptr) {
        // What a limit leaves to this instance is used first.
        const bool isLimited =
                this->targetLimits.perSecond(best.target->record.id, now).has_value();
        const CostedTarget loan = this->cheapest(std::move(limited), terms.latency, now, random);
        const bool isLoanCheaper =
                !isLimited && loan.target != nullptr && loan.cost + loanCostMs < best.cost;
        return {best.target, ChoiceProblem::None, isLoanCheaper ? loan.target : nullptr};
    }
    // Any replica will do, and unused parts of limits may lie at the holders of each of them.
    TargetNode *loanTarget = limited.empty() ? nullptr : *pickRandom(limited, random);
    if (terms.allowAvoided && earliestAvoided != nullptr) {
        return {earliestAvoided, ChoiceProblem::None, loanTarget};
    }
    return {nullptr, problem, loanTarget};
}

TargetDistance TargetRegistry::distanceOf(const TargetNode &target) const
{
    return target.record.failureDomain == this->failureDomain ? TargetDistance::SameDomain
            : this->isCoordinator ? TargetDistance::OtherDomainOfCoordinator
                                  : TargetDistance::OtherDomain;
}

TargetRegistry::CostedTarget TargetRegistry::cheapest(std::vector<TargetNode *> candidates,
                                                      const LatencyModel &model, Instant now,
                                                      RandomEngine &random) const
{
    if (candidates.size() > maxCompared) {
        std::ranges::shuffle(candidates, random);
        candidates.resize(2);
    }
    CostedTarget best;
    for (TargetNode *target : candidates) {
        const double cost = targetCost(*target, this->distanceOf(*target), model, now, random);
        if (best.target == nullptr || cost < best.cost) {
            best = {target, cost};
        }
    }
    return best;
}

} // namespace lagoondeck
