#include "logic/gateway/target_book.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace lagoondeck {

namespace {

/// The part of a target's connections that is divided over the instances; the rest is for views
/// that differ and for instances that replace one another.
constexpr double dividedCapPart = 0.85;
/// How fast the learned figures follow the newest request.
constexpr double learningRate = 0.25;
/// One request counts as at most this much slower than usual, so that a short pause is forgotten
/// after a few requests.
constexpr double mostSlowness = 5.0;
/// What was learned loses half its weight in this time, so that a target gets another try.
constexpr std::chrono::duration<double> forgetHalfLife = std::chrono::seconds(3);
constexpr Duration firstAvoid = std::chrono::milliseconds(50);
constexpr Duration longestAvoid = std::chrono::seconds(2);
constexpr std::uint32_t mostDoublings = 6;
constexpr Duration shedAvoid = std::chrono::milliseconds(15);
/// A request that is out for this many times the late latency tells that its target stalls.
constexpr double stallFactor = 1.3;
constexpr Duration shortestStall = std::chrono::milliseconds(12);
/// What a stalled target costs at least, beyond the time that the request is already out.
constexpr double stallCostMs = 60.0;
/// What a certain failure costs.
constexpr double failureCostMs = 120.0;
/// Bytes between failure domains are paid for; a replica of the own one is preferred while it costs
/// no more than this much latency.
constexpr double remoteCost = 1.6;
constexpr double warmupSlowness = 1.6;
/// Equal targets are told apart by this much chance, so that instances don't move in step.
constexpr double chancePart = 0.1;
/// Among more replicas than this, two random ones are compared.
constexpr std::size_t mostCompared = 4;

double weightLeft(const TargetNode &target, Instant now)
{
    const std::chrono::duration<double> age = now - target.learnedAt;
    return std::exp2(-age / forgetHalfLife);
}

double slownessNow(const TargetNode &target, Instant now)
{
    return 1.0 + (target.slowness - 1.0) * weightLeft(target, now);
}

bool stalls(const TargetNode &target, const LatencyModel &model, Instant now)
{
    if (target.sentAt.empty()) {
        return false;
    }
    const auto limit = std::chrono::duration_cast<Duration>(model.late() * stallFactor);
    return now - *target.sentAt.begin() > std::max(limit, shortestStall);
}

} // namespace

TargetGroup &TargetBook::group(const GroupName &name)
{
    auto &group = this->groups[name];
    if (group == nullptr) {
        group = std::make_unique<TargetGroup>();
        group->name = name;
        group->budget = RetryBudget(this->slackFrom);
    }
    return *group;
}

void TargetBook::update(const TargetRecord &record, Instant now)
{
    const auto found = this->targets.find(record.id);
    if (found != this->targets.end()) {
        TargetNode &known = *found->second;
        if (known.record.startedAtMs == record.startedAtMs && known.record.address == record.address
            && known.record.group == record.group) {
            known.record = record;
            known.usable = !record.leaving;
            return;
        }
        // Another process under the same id: nothing that was learned holds.
        this->remove(record.id);
    }
    auto node = std::make_unique<TargetNode>();
    node->record = record;
    node->usable = !record.leaving;
    node->warmUntil = now + record.warmupLeft;
    this->group(record.group).targets.push_back(node.get());
    this->targets.emplace(record.id, std::move(node));
}

void TargetBook::detach(TargetNode &target)
{
    auto &members = this->group(target.record.group).targets;
    std::erase(members, &target);
    target.usable = false;
}

void TargetBook::remove(const TargetId &target)
{
    const auto found = this->targets.find(target);
    if (found == this->targets.end()) {
        return;
    }
    this->detach(*found->second);
    if (found->second->inFlight > 0) {
        this->retired.push_back(std::move(found->second));
    }
    this->targets.erase(found);
}

void TargetBook::dropRetired()
{
    std::erase_if(this->retired, [](const auto &node) { return node->inFlight == 0; });
}

void TargetBook::setCaps(const RoutingConfig &config)
{
    for (const auto &[name, cap] : config.connectionCaps) {
        this->group(name).connectionCap = cap;
    }
}

bool TargetBook::hasRoom(const TargetNode &target, const TargetGroup &group) const
{
    const double share = group.connectionCap * dividedCapPart
            / static_cast<double>(std::max<std::size_t>(this->instances, 1));
    return target.inFlight < std::max<std::uint32_t>(static_cast<std::uint32_t>(share), 1U);
}

double TargetBook::cost(const TargetNode &target, const LatencyModel &model, Instant now,
                        RandomEngine &random) const
{
    const double queue = 1.0 + static_cast<double>(target.inFlight) / target.record.slots;
    double slowness = slownessNow(target, now)
            * (target.record.failureDomain == this->failureDomain ? 1.0 : remoteCost);
    if (now < target.warmUntil) {
        slowness = std::max(slowness, warmupSlowness);
    }
    std::uniform_real_distribution<double> chance(1.0 - chancePart, 1.0 + chancePart);
    double cost = toFractionalMilliseconds(model.median()) * slowness * queue * chance(random);
    cost += failureCostMs * target.failureRate * weightLeft(target, now);
    if (stalls(target, model, now)) {
        cost += stallCostMs + toFractionalMilliseconds(now - *target.sentAt.begin());
    }
    return cost;
}

TargetChoice TargetBook::choose(TargetGroup &group, std::span<const TargetId> excluded,
                                const LatencyModel &model, bool insist, Instant now,
                                RandomEngine &random)
{
    std::vector<TargetNode *> free;
    TargetNode *earliest = nullptr;
    ChoiceProblem problem = ChoiceProblem::NoTarget;
    for (TargetNode *target : group.targets) {
        if (!target->usable || std::ranges::find(excluded, target->record.id) != excluded.end()) {
            continue;
        }
        if (!this->hasRoom(*target, group)) {
            problem = problem == ChoiceProblem::NoTarget ? ChoiceProblem::Busy : problem;
        } else if (now < target->avoidUntil) {
            problem = ChoiceProblem::Avoided;
            if (earliest == nullptr || target->avoidUntil < earliest->avoidUntil) {
                earliest = target;
            }
        } else {
            free.push_back(target);
        }
    }
    if (free.empty()) {
        return insist && earliest != nullptr ? TargetChoice {earliest, ChoiceProblem::None}
                                             : TargetChoice {nullptr, problem};
    }
    if (free.size() > mostCompared) {
        std::ranges::shuffle(free, random);
        free.resize(2);
    }
    TargetNode *best = nullptr;
    double bestCost = 0.0;
    for (TargetNode *target : free) {
        const double cost = this->cost(*target, model, now, random);
        if (best == nullptr || cost < bestCost) {
            best = target;
            bestCost = cost;
        }
    }
    return {best, ChoiceProblem::None};
}

void TargetBook::onSent(TargetNode &target, Instant now)
{
    ++target.inFlight;
    target.sentAt.insert(now);
    if (target.failing()) {
        // One trial at a time until it has answered.
        const auto doublings = std::min(target.failuresInRow - 1, mostDoublings);
        target.avoidUntil = now + std::min(firstAvoid * (1U << doublings), longestAvoid);
    }
}

void TargetBook::onEnded(TargetNode &target, Instant sentAt, TargetOutcome outcome,
                         const LatencyModel &model, Instant now)
{
    --target.inFlight;
    if (const auto found = target.sentAt.find(sentAt); found != target.sentAt.end()) {
        target.sentAt.erase(found);
    }
    if (outcome == TargetOutcome::Neutral) {
        this->dropRetired();
        return;
    }
    const double weight = weightLeft(target, now);
    target.slowness = 1.0 + (target.slowness - 1.0) * weight;
    target.failureRate *= weight;
    target.learnedAt = now;
    const bool failed = outcome != TargetOutcome::Answered && outcome != TargetOutcome::Slow
            && outcome != TargetOutcome::Shed;
    target.failureRate += learningRate
            * ((failed || outcome == TargetOutcome::Shed ? 1.0 : 0.0) - target.failureRate);
    if (outcome == TargetOutcome::Answered || outcome == TargetOutcome::Slow) {
        const double median = std::max(toFractionalMilliseconds(model.median()), 0.1);
        const double ratio =
                std::min(toFractionalMilliseconds(now - sentAt) / median, mostSlowness);
        target.slowness += learningRate * (ratio - target.slowness);
    }
    if (outcome == TargetOutcome::Slow) {
        // Whether it would have answered is not known.
    } else if (outcome == TargetOutcome::Answered) {
        target.failuresInRow = 0;
        target.avoidUntil = now;
    } else if (outcome == TargetOutcome::Shed) {
        target.avoidUntil = std::max(target.avoidUntil, now + shedAvoid);
    } else {
        const auto doublings = std::min(target.failuresInRow, mostDoublings);
        ++target.failuresInRow;
        target.avoidUntil = now + std::min(firstAvoid * (1U << doublings), longestAvoid);
    }
    this->dropRetired();
}

} // namespace lagoondeck
