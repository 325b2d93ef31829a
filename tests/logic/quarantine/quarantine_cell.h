#pragma once

#include "logic/context.h"
#include "logic/membership/member.h"
#include "logic/quarantine/quarantine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lagoondeck {

/// Simulates the quarantines of several instances, the network between them and targets that crash
/// on the body "poison", in virtual time. A query sends one sub-request per shard; a canary query
/// sends only the first one until it is released.
class QuarantineCell
{
public:
    static constexpr std::uint32_t shards = 5;
    static constexpr std::uint32_t replicas = 4;

    QuarantineCell(std::size_t nodeCount, std::uint64_t seed);

    bool canary = false;
    bool deliverMessages = true;
    std::set<std::size_t> deadNodes;
    std::set<std::string> lostTargets;
    std::size_t answered = 0;
    std::size_t refused = 0;

    void send(std::size_t node, const std::string &body, Duration after);
    void sendAtRandom(const std::string &body, Duration span);
    /// The given number of targets crash now, together with all sub-requests that they are running.
    void loseTargetsAtOnce(std::size_t count);
    void runFor(Duration time);
    QuarantineDecision decide(std::size_t node, const std::string &body);

private:
    struct Node
    {
        MembershipView view;
        std::unique_ptr<Quarantine> quarantine;
        RandomEngine random;
        IdSource ids;
    };
    struct RunningQuery
    {
        std::size_t node = 0;
        CallerRequest request;
        std::set<AttemptId> attemptsInFlight;
        std::map<AttemptId, std::string> targets;
        std::uint32_t shardsSent = 0;
        bool canary = false;
    };
    using Action = std::function<void(Context &)>;

    void scheduleAt(Instant when, std::function<void()> action)
    {
        this->scheduledActions.emplace(when, action);
    }
    void apply(std::size_t node, const Action &action);
    void performEffects(std::size_t node, std::vector<Effect> &effects);
    void run(std::size_t node, const CallerRequest &request, Instant arrivedAt, Context &context);
    void sendShards(RunningQuery &query, std::uint32_t count, Context &context);
    void endAttempt(QueryId query, AttemptId attempt);
    void loseTarget(QueryId query, AttemptId attempt, const std::string &target);
    void finish(QueryId query, Context &context);
    CatalogueEntry entry() const;
    CallerRequest requestOf(const std::string &body);

    std::mt19937_64 random;
    std::vector<Node> nodes;
    std::map<QueryId, RunningQuery> queries;
    std::multimap<Instant, std::function<void()>> scheduledActions;
    std::uint64_t lastQuery = 0;
    Instant now = Instant(std::chrono::hours(1));
};

} // namespace lagoondeck
