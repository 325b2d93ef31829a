#pragma once

#include "core/routing_config.h"
#include "core/target_record.h"
#include "logic/context.h"
#include "logic/gateway/latency_model.h"
#include "logic/gateway/retry_budget.h"
#include "logic/gateway/target_node.h"

#include <cstdint>
#include <memory>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoondeck {

/// The replicas of one group and what is shared by all requests to it.
struct TargetGroup
{
    GroupName name;
    std::vector<TargetNode *> targets;
    std::uint32_t connectionCap = 1;
    RetryBudget budget;
};

/// How one request at a target ended, as far as the target's health goes.
enum class TargetOutcome {
    Answered,
    Shed,        ///< It refused the request for its load.
    Failed,      ///< It answered with an error or spoiled bytes.
    Lost,        ///< The connection broke.
    Unreachable, ///< No connection could be made.
    Silent,      ///< It did not answer in time.
    Slow,        ///< Given up by us when it had already taken several times the usual latency.
    Neutral,     ///< Given up by us; nothing is learned.
};

/// Why no target was chosen.
enum class ChoiceProblem {
    None,
    NoTarget, ///< No usable replica is known.
    Busy,     ///< All of them carry as much as this instance may send.
    Avoided,  ///< All of them failed a moment ago.
};

/// A target for a request, or why there is none.
struct TargetChoice
{
    TargetNode *target = nullptr;
    ChoiceProblem problem = ChoiceProblem::None;
};

/// All targets by group, what was learned of them, and the choice among replicas.
class TargetBook
{
public:
    // Knowledge of the store.

    void update(const TargetRecord &record, Instant now);
    void remove(const TargetId &target);
    void setCaps(const RoutingConfig &config);
    /// Targets of another failure domain cost more.
    void setFailureDomain(FailureDomain domain) { this->failureDomain = std::move(domain); }
    /// How many entry instances share the targets' connections.
    void setInstances(std::size_t count) { this->instances = count; }
    /// Groups have a part of the retries' slack from then on.
    void setSlackFrom(Instant at) { this->slackFrom = at; }

    // Requests.

    /// Chooses a replica, none of the excluded ones. With insist, one that failed a moment ago is
    /// taken when there is no other.
    TargetChoice choose(TargetGroup &group, std::span<const TargetId> excluded,
                        const LatencyModel &model, bool insist, Instant now, RandomEngine &random);
    void onSent(TargetNode &target, Instant now);
    void onEnded(TargetNode &target, Instant sentAt, TargetOutcome outcome,
                 const LatencyModel &model, Instant now);

    TargetGroup &group(const GroupName &name);
    std::size_t size() const { return this->targets.size(); }
    const std::unordered_map<TargetId, std::unique_ptr<TargetNode>> &all() const
    {
        return this->targets;
    }
    std::size_t instanceCount() const { return this->instances; }

private:
    bool hasRoom(const TargetNode &target, const TargetGroup &group) const;
    double cost(const TargetNode &target, const LatencyModel &model, Instant now,
                RandomEngine &random) const;
    void detach(TargetNode &target);
    void dropRetired();

    std::unordered_map<TargetId, std::unique_ptr<TargetNode>> targets;
    /// Targets that are gone while requests are still out there.
    std::vector<std::unique_ptr<TargetNode>> retired;
    std::unordered_map<GroupName, std::unique_ptr<TargetGroup>> groups;
    FailureDomain failureDomain;
    std::size_t instances = 1;
    Instant slackFrom {};
};

} // namespace lagoondeck
