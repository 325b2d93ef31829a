#pragma once

#include "core/routing_config.h"
#include "core/target_record.h"
#include "logic/context.h"
#include "logic/gateway/latency_model.h"
#include "logic/gateway/retry_budget.h"
#include "logic/gateway/target_announcements.h"
#include "logic/gateway/target_limits.h"
#include "logic/gateway/target_node.h"
#include "logic/placement/cold_targets.h"
#include "logic/placement/evacuated_domains.h"
#include "logic/placement/lost_domains.h"
#include "logic/placement/placement_counts.h"
#include "logic/placement/region_rule.h"
#include "logic/placement/target_health.h"

#include <cstdint>
#include <memory>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoondeck {

enum class TargetDistance;

/// The replicas of one group and the limits that all requests to the group share.
struct TargetGroup
{
    GroupName name;
    std::vector<TargetNode *> targets;
    /// How many connections the whole fleet may open to one target.
    std::uint32_t connectionCap = 1;
    /// Whether the group's targets serve gathered requests.
    bool isGathered = false;
    RetryBudget budget;
};

/// Why no target was chosen. Of several problems the last one in this order counts.
enum class ChoiceProblem {
    None,
    NoTarget, ///< No usable replica is known.
    Paused,   ///< All usable replicas asked this instance to pause.
    Limited,  ///< The limits of all usable replicas leave no request.
    Busy,     ///< This instance's share of the connection cap is used up at all replicas.
    Avoided,  ///< All replicas that have capacity failed recently.
};

/// What a target is chosen for.
struct ChoiceTerms
{
    std::span<const TargetId> excluded;
    const LatencyModel &latency;
    /// Whether a replica that failed recently may be chosen.
    bool allowAvoided = true;
    LimitUse limitUse;
    RegionRule regions;
};

/// The target chosen for a request, or the reason why there is none.
struct TargetChoice
{
    TargetNode *target = nullptr;
    ChoiceProblem problem = ChoiceProblem::None;
    /// A limited replica that costs less even with the wait for a loan, or that is the only way.
    /// Null if there is none or if a loan is unlikely now.
    TargetNode *loanTarget = nullptr;
};

/// Holds all targets by group with their learned health, and chooses among replicas.
class TargetRegistry
{
public:
    // Data from the store.

    /// Adds a target or updates its record. A new process under a known id replaces the old one.
    void update(const TargetRecord &record, Instant now);
    /// Removes a target. Requests that are still running there end normally.
    void remove(const TargetId &target, Instant now);
    /// Called when all targets of the store have been listed.
    void onListed() { this->coldTargets.onListed(); }
    /// Logs the targets that have become cold since the last call.
    void logNewlyCold(GatewayContext &context);
    const ColdTargets &coldTargetsKnown() const { return this->coldTargets; }
    /// Called when nothing more may be sent to the targets of a failure domain.
    void beginEvacuation(const FailureDomain &domain, GatewayContext &context);
    /// Called when the targets of a failure domain may get requests again.
    void endEvacuation(const FailureDomain &domain, GatewayContext &context);
    const EvacuatedDomains &evacuatedDomains() const { return this->evacuations; }
    /// Applies what the configuration says of the groups.
    void setConfig(const RoutingConfig &config, Instant now);
    /// Sets this instance's failure domain. Targets in other domains cost more.
    void setFailureDomain(FailureDomain domain) { this->failureDomain = std::move(domain); }
    /// Returns true if the target is in another failure domain than this instance.
    bool isRemote(const TargetNode &target) const
    {
        return target.record.failureDomain != this->failureDomain;
    }
    /// Sets the region of each failure domain.
    void setRegions(DomainRegions regions) { this->domainRegions = std::move(regions); }
    /// Sets how many entry instances share the targets' connections.
    void setInstanceCount(std::size_t count) { this->instances = count; }
    /// Sets the fleet's coordinators and whether this instance is one of them. There are none if
    /// every instance sends its own requests.
    void setCoordinators(const std::vector<MemberRecord> &coordinators, bool includesSelf);
    /// Sets when this instance's share of the retry slack becomes available. Applies to groups
    /// that are created after this call.
    void setSlackAvailableAt(Instant at) { this->slackAvailableAt = at; }

    // Requests.

    /// Chooses the replica with the lowest cost that is not excluded and did not fail recently. If
    /// there is none and the terms allow it, chooses the one whose avoidance ends first.
    TargetChoice choose(TargetGroup &group, const ChoiceTerms &terms, Instant now,
                        RandomEngine &random);
    /// Returns whether some replica of the group is in use in a region that is allowed.
    bool hasUsable(const TargetGroup &group, const RegionRule &rule) const;
    const PlacementCounts &placementCounts() const { return this->counts; }
    /// Called when a member reports limits that targets state.
    void onLimitsReported(const std::vector<StatedLimit> &stated, GatewayContext &context);
    /// Requests one request at some limited replica of the group from another member.
    void requestLoan(const TargetGroup &group, Instant now, RandomEngine &random);
    /// Lends a member parts of this instance's shares of limits.
    LimitGrants lendLimits(const LimitRequested &event, GatewayContext &context);
    /// Returns the target's group, or null if the target is not known.
    TargetGroup *groupOf(const TargetId &target);
    /// Returns the problem if no usable replica may get a request now because of limits or pauses,
    /// or if there is none. Does not check connections or failures.
    ChoiceProblem restrictionProblem(TargetGroup &group, const LimitUse &use,
                                     const RegionRule &rule, Instant now);
    /// Returns the requests per second that the limited replicas of the group take.
    double limitedRate(const TargetGroup &group, Instant now) const;
    void onSent(TargetNode &target, TraceKind cause, Instant now);
    /// Applies what a target says of itself in a reply.
    void onReply(TargetNode &target, const ForwardedReply &reply, GatewayContext &context);
    /// Called when no connection to a target could be made, or when the reply to a request that was
    /// sent at the given time is overdue.
    void onUnanswered(const TargetId &target, Instant sentAt, GatewayContext &context);
    /// Looks for failure domains of which no target replies. Must be called only while this
    /// instance's own path to the targets works.
    void findLostDomains(GatewayContext &context);
    std::size_t lostDomainCount() const { return this->lostDomains.lostCount(); }
    /// Returns the targets that said that they are leaving, and the limits that targets state.
    void describe(LearnedState &state, Instant now) const;
    /// Called when a member knows that a process of a target said that it is leaving.
    void onLeavingKnown(const LeavingTarget &leaving, GatewayContext &context);
    /// Called when a target told a member that it is leaving, in a reply to a request that the
    /// member served for this instance.
    void onLeavingReported(const TargetId &target, GatewayContext &context);
    void onEnded(TargetNode &target, Instant sentAt, TargetOutcome outcome,
                 const LatencyModel &model, Instant now);

    /// Forgets what was learned about the targets' health, because it was the fault of something
    /// else.
    void forgetHealth();

    /// Returns the group of this name; creates it if necessary.
    TargetGroup &group(const GroupName &name);
    /// Returns the failure domains that hold a usable replica of most of the gathered groups of the
    /// configuration.
    std::vector<FailureDomain> coveringDomains(const RoutingConfig &config);
    /// Increases whenever a target becomes usable or unusable.
    std::uint64_t revision() const { return this->changes; }
    std::size_t size() const { return this->targets.size(); }
    /// Returns how many targets are in use, but no more than the given number.
    std::size_t countUsable(std::size_t limit) const;
    /// Returns random targets that are in use, in different failure domains as far as possible.
    std::vector<const TargetNode *> pickUsable(std::size_t count, RandomEngine &random) const;
    const std::unordered_map<TargetId, std::unique_ptr<TargetNode>> &all() const
    {
        return this->targets;
    }
    std::size_t instanceCount() const { return this->instances; }
    /// Returns whether some target limits its requests or asked this instance to pause, or whether
    /// a failure domain is evacuated.
    bool hasRestrictions(Instant now) const
    {
        return !this->targetLimits.empty() || now < this->lastPauseEnd
                || !this->evacuations.empty();
    }
    /// The limits that targets state.
    TargetLimits &limits() { return this->targetLimits; }
    const TargetLimits &limits() const { return this->targetLimits; }

private:
    /// Returns true if this instance's share of the connection cap allows another request.
    bool hasCapacity(const TargetNode &target, const TargetGroup &group) const;
    /// A target with the expected cost of a request.
    struct CostedTarget
    {
        TargetNode *target = nullptr;
        double cost = 0.0;
    };

    TargetDistance distanceOf(const TargetNode &target) const;
    /// Returns the candidate with the lowest cost, or none. Compares only two of many candidates.
    CostedTarget cheapest(std::vector<TargetNode *> candidates, const LatencyModel &model,
                          Instant now, RandomEngine &random) const;
    void markLeaving(TargetNode &target, GatewayContext &context);
    void detach(TargetNode &target);
    /// Returns whether the target may get new requests.
    bool shouldBeUsable(const TargetNode &target) const;
    void updateUsable(TargetNode &target);
    /// Applies what is known of the target's being cold to its limit.
    void limitCold(const TargetNode &target, Instant now);
    /// Updates the targets of a failure domain. Returns their number.
    std::size_t updateDomain(const FailureDomain &domain);
    void removeIdleRetired();

    std::unordered_map<TargetId, std::unique_ptr<TargetNode>> targets;
    /// Removed targets at which requests are still running.
    std::vector<std::unique_ptr<TargetNode>> retired;
    std::unordered_map<GroupName, std::unique_ptr<TargetGroup>> groups;
    TargetLimits targetLimits;
    TargetAnnouncements announcements;
    EvacuatedDomains evacuations;
    LostDomains lostDomains;
    ColdTargets coldTargets;
    std::vector<TargetId> newlyCold;
    PlacementCounts counts;
    /// When the last pause that some target asked for ends.
    Instant lastPauseEnd {};
    FailureDomain failureDomain;
    DomainRegions domainRegions;
    std::size_t instances = 1;
    std::size_t coordinatorCount = 0;
    bool isCoordinator = false;
    std::uint64_t changes = 0;
    Instant slackAvailableAt {};
};

} // namespace lagoondeck
