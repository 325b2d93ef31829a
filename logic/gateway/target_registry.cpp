#include "logic/gateway/target_registry.h"

#include "logic/placement/covering_domains.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <set>
#include <utility>

namespace lagoondeck {

TargetGroup &TargetRegistry::group(const GroupName &name)
{
    auto &group = this->groups[name];
    if (group == nullptr) {
        group = std::make_unique<TargetGroup>();
        group->name = name;
        group->budget = RetryBudget(this->slackAvailableAt);
    }
    return *group;
}

void TargetRegistry::update(const TargetRecord &record, Instant now)
{
    const auto found = this->targets.find(record.id);
    if (found != this->targets.end()) {
        TargetNode &known = *found->second;
        if (known.record.startedAtMs == record.startedAtMs && known.record.address == record.address
            && known.record.group == record.group) {
            known.record = record;
            this->updateUsable(known);
            this->coldTargets.onEntry(record, now);
            this->limitCold(known, now);
            return;
        }
        // Another process runs under the same id, so the learned values are invalid.
        this->remove(record.id, now);
    }
    auto node = std::make_unique<TargetNode>();
    node->record = record;
    node->hasAnnouncedLeaving = this->announcements.isLeaving(record);
    node->usable = this->shouldBeUsable(*node);
    node->warmupUntil = now + record.warmupLeft;
    this->group(record.group).targets.push_back(node.get());
    this->coldTargets.onAdded(record, now);
    this->limitCold(*node, now);
    this->targets.emplace(record.id, std::move(node));
    ++this->changes;
}

void TargetRegistry::limitCold(const TargetNode &target, Instant now)
{
    const TargetId &id = target.record.id;
    const bool wasCold = this->targetLimits.isCold(id, now);
    const auto cold = this->coldTargets.state(target.record, now);
    if (!cold && !wasCold) {
        return;
    }
    this->targetLimits.setCold(id, this->group(target.record.group).isGathered,
                               cold ? cold->requestsPerSecond : 0.0, cold ? cold->until : now);
    if (cold && !wasCold) {
        this->newlyCold.push_back(id);
    }
}

void TargetRegistry::logNewlyCold(GatewayContext &context)
{
    for (const TargetId &id : std::exchange(this->newlyCold, {})) {
        const auto found = this->targets.find(id);
        const auto cold = found == this->targets.end()
                ? std::nullopt
                : this->coldTargets.state(found->second->record, context.now);
        if (cold) {
            context.log(LogEvent::TargetCold,
                        {{"target", id.value},
                         {"domain", found->second->record.failureDomain.value},
                         {"perSecond", std::to_string(cold->requestsPerSecond)},
                         numberField("ms", toMilliseconds(cold->until - context.now))});
        }
    }
}

bool TargetRegistry::shouldBeUsable(const TargetNode &target) const
{
    return !target.record.leaving && !target.hasAnnouncedLeaving
            && !this->evacuations.contains(target.record.failureDomain);
}

void TargetRegistry::updateUsable(TargetNode &target)
{
    const bool usable = this->shouldBeUsable(target);
    this->changes += target.usable != usable ? 1 : 0;
    target.usable = usable;
}

void TargetRegistry::beginEvacuation(const FailureDomain &domain, GatewayContext &context)
{
    if (!this->evacuations.add(domain, context.now)) {
        return;
    }
    context.log(LogEvent::DomainEvacuated,
                {{"domain", domain.value},
                 numberField("targets", static_cast<std::int64_t>(this->updateDomain(domain)))});
}

void TargetRegistry::endEvacuation(const FailureDomain &domain, GatewayContext &context)
{
    const auto begunAt = this->evacuations.remove(domain);
    if (!begunAt) {
        return;
    }
    for (const auto &[id, target] : this->targets) {
        if (target->record.failureDomain == domain) {
            this->coldTargets.makeCold(target->record, context.now);
            this->limitCold(*target, context.now);
        }
    }
    context.log(LogEvent::EvacuationEnded,
                {{"domain", domain.value},
                 numberField("targets", static_cast<std::int64_t>(this->updateDomain(domain))),
                 numberField("ms", toMilliseconds(context.now - *begunAt))});
}

std::size_t TargetRegistry::updateDomain(const FailureDomain &domain)
{
    std::size_t count = 0;
    for (const auto &[id, target] : this->targets) {
        if (target->record.failureDomain == domain) {
            this->updateUsable(*target);
            ++count;
        }
    }
    return count;
}

bool TargetRegistry::hasUsable(const TargetGroup &group, const RegionRule &rule) const
{
    return std::ranges::any_of(group.targets, [&](const TargetNode *target) {
        return target->usable
                && rule.allowsTargetsIn(target->record.failureDomain, this->domainRegions);
    });
}

void TargetRegistry::onReply(TargetNode &target, const ForwardedReply &reply,
                             GatewayContext &context)
{
    if (reply.otherRequest || reply.otherInstance) {
        return;
    }
    if (reply.requestedPause > Duration(0)) {
        target.pausedUntil = std::max(target.pausedUntil, context.now + reply.requestedPause);
        this->lastPauseEnd = std::max(this->lastPauseEnd, target.pausedUntil);
    }
    if (reply.isTargetLeaving && reply.kind != ReplyClass::Unusable) {
        this->markLeaving(target, context);
    }
    const FailureDomain &domain = target.record.failureDomain;
    if (const auto length = this->lostDomains.onReply(domain, target.record.id, context.now)) {
        context.log(LogEvent::DomainReturned,
                    {{"domain", domain.value}, numberField("ms", toMilliseconds(*length))});
    }
}

void TargetRegistry::onUnanswered(const TargetId &target, Instant sentAt, GatewayContext &context)
{
    if (const auto found = this->targets.find(target); found != this->targets.end()) {
        this->lostDomains.onFailure(found->second->record.failureDomain, target, sentAt,
                                    context.now);
    }
}

void TargetRegistry::findLostDomains(GatewayContext &context)
{
    for (const FailureDomain &domain : this->lostDomains.suspects(context.now)) {
        const auto usable = std::ranges::count_if(this->targets, [&](const auto &entry) {
            return entry.second->usable && entry.second->record.failureDomain == domain;
        });
        if (this->lostDomains.confirm(domain, static_cast<std::size_t>(usable), context.now)) {
            context.log(LogEvent::DomainLost,
                        {{"domain", domain.value},
                         numberField("failedTargets",
                                     static_cast<std::int64_t>(this->lostDomains.failedTargets(
                                             domain, context.now)))});
        }
    }
}

void TargetRegistry::onLeavingReported(const TargetId &target, GatewayContext &context)
{
    if (const auto found = this->targets.find(target); found != this->targets.end()) {
        this->markLeaving(*found->second, context);
    }
}

void TargetRegistry::markLeaving(TargetNode &target, GatewayContext &context)
{
    if (std::exchange(target.hasAnnouncedLeaving, true)) {
        return;
    }
    this->announcements.addLeaving({target.record.id, target.record.startedAtMs}, context.now);
    this->updateUsable(target);
    context.log(LogEvent::TargetLeaving, {{"target", target.record.id.value}});
}

void TargetRegistry::detach(TargetNode &target)
{
    auto &replicas = this->group(target.record.group).targets;
    std::erase(replicas, &target);
    target.usable = false;
    ++this->changes;
}

void TargetRegistry::remove(const TargetId &target, Instant now)
{
    const auto found = this->targets.find(target);
    if (found == this->targets.end()) {
        return;
    }
    this->detach(*found->second);
    this->targetLimits.forget(target);
    this->coldTargets.onRemoved(found->second->record, now);
    if (found->second->inFlight > 0) {
        this->retired.push_back(std::move(found->second));
    }
    this->targets.erase(found);
}

void TargetRegistry::forgetHealth()
{
    for (const auto &[id, target] : this->targets) {
        lagoondeck::forgetHealth(*target);
    }
    this->lostDomains.clear();
}

std::size_t TargetRegistry::countUsable(std::size_t limit) const
{
    std::size_t count = 0;
    for (auto target = this->targets.begin(); target != this->targets.end() && count < limit;
         ++target) {
        count += target->second->usable ? 1 : 0;
    }
    return count;
}

std::vector<const TargetNode *> TargetRegistry::pickUsable(std::size_t count,
                                                           RandomEngine &random) const
{
    std::vector<const TargetNode *> usable;
    for (const auto &[id, target] : this->targets) {
        if (target->usable) {
            usable.push_back(target.get());
        }
    }
    std::ranges::shuffle(usable, random);
    std::set<FailureDomain> domains;
    std::stable_partition(usable.begin(), usable.end(), [&](const TargetNode *target) {
        return domains.insert(target->record.failureDomain).second;
    });
    usable.resize(std::min(usable.size(), count));
    return usable;
}

void TargetRegistry::removeIdleRetired()
{
    std::erase_if(this->retired, [](const auto &node) { return node->inFlight == 0; });
}

void TargetRegistry::setConfig(const RoutingConfig &config, Instant now)
{
    for (const auto &[name, cap] : config.connectionCaps) {
        TargetGroup &group = this->group(name);
        group.connectionCap = cap;
        group.isGathered = false;
    }
    for (const Route &route : config.routes) {
        for (const GroupName &name : route.gather) {
            this->group(name).isGathered = true;
        }
    }
    this->coldTargets.setLimits(config.coldLimits);
    for (const auto &[id, target] : this->targets) {
        this->limitCold(*target, now);
    }
}

void TargetRegistry::setCoordinators(const std::vector<MemberRecord> &coordinators,
                                     bool includesSelf)
{
    this->coordinatorCount = coordinators.size();
    this->isCoordinator = includesSelf && !coordinators.empty();
    this->targetLimits.setCoordinators(coordinators);
}

std::vector<FailureDomain> TargetRegistry::coveringDomains(const RoutingConfig &config)
{
    std::set<GroupName> gathered;
    for (const Route &route : config.routes) {
        gathered.insert(route.gather.begin(), route.gather.end());
    }
    std::vector<std::set<FailureDomain>> domainsOfGroups;
    for (const GroupName &name : gathered) {
        std::set<FailureDomain> &domains = domainsOfGroups.emplace_back();
        for (const TargetNode *target : this->group(name).targets) {
            if (target->usable) {
                domains.insert(target->record.failureDomain);
            }
        }
    }
    return lagoondeck::coveringDomains(domainsOfGroups);
}

void TargetRegistry::onLimitsReported(const std::vector<StatedLimit> &stated,
                                      GatewayContext &context)
{
    for (const StatedLimit &limit : stated) {
        const auto found = this->targets.find(limit.target);
        if (limit.coldLeft > Duration(0) && found != this->targets.end()) {
            this->coldTargets.onReported(limit.target, context.now + limit.coldLeft);
            this->limitCold(*found->second, context.now);
        } else if (const TargetGroup *group = this->groupOf(limit.target)) {
            this->targetLimits.onReported(limit, group->isGathered, context);
        }
    }
}

void TargetRegistry::describe(LearnedState &state, Instant now) const
{
    state.leavingTargets = this->announcements.leavingTargets(now);
    state.limits = this->targetLimits.stated(now);
}

void TargetRegistry::onLeavingKnown(const LeavingTarget &leaving, GatewayContext &context)
{
    const auto found = this->targets.find(leaving.target);
    if (found == this->targets.end()) {
        // It may become known later.
        this->announcements.addLeaving(leaving, context.now);
    } else if (found->second->record.startedAtMs == leaving.startedAtMs) {
        this->markLeaving(*found->second, context);
    }
}

TargetGroup *TargetRegistry::groupOf(const TargetId &target)
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? nullptr : &this->group(found->second->record.group);
}

LimitGrants TargetRegistry::lendLimits(const LimitRequested &event, GatewayContext &context)
{
    // A member may know of a limit that this instance has not heard of yet.
    for (const LimitWish &wish : event.wishes) {
        if (const TargetGroup *group = this->groupOf(wish.target);
            group != nullptr && !this->targetLimits.perSecond(wish.target, context.now)) {
            this->targetLimits.onReported({wish.target, wish.perSecond}, group->isGathered,
                                          context);
        }
    }
    return this->targetLimits.lend(event.wishes, context.now);
}

double TargetRegistry::limitedRate(const TargetGroup &group, Instant now) const
{
    double sum = 0.0;
    for (const TargetNode *target : group.targets) {
        sum += this->targetLimits.perSecond(target->record.id, now).value_or(0.0);
    }
    return sum;
}

void TargetRegistry::onSent(TargetNode &target, TraceKind cause, Instant now)
{
    this->targetLimits.onSent(target.record.id, cause, now);
    this->lostDomains.onSent(target.record.failureDomain, now);
    ++target.inFlight;
    target.sendTimes.insert(now);
    beginTrial(target, now);
}

void TargetRegistry::onEnded(TargetNode &target, Instant sentAt, TargetOutcome outcome,
                             const LatencyModel &model, Instant now)
{
    --target.inFlight;
    if (const auto found = target.sendTimes.find(sentAt); found != target.sendTimes.end()) {
        target.sendTimes.erase(found);
    }
    learnOutcome(target, sentAt, outcome, model, now);
    this->removeIdleRetired();
}

} // namespace lagoondeck
