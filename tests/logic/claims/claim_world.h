#pragma once

#include "core/settings.h"
#include "logic/claims/claims.h"
#include "logic/context.h"
#include "tests/logic/claims/fake_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lagoondeck {

/// What goes wrong in a run.
struct ClaimFaults
{
    double lostReplies = 0.0;
    /// Replies that come after the operation's timeout.
    double lateReplies = 0.0;
    bool outages = false;
    /// Nodes stop for a while, also longer than a claim lasts.
    bool pauses = false;
    /// Breaks the re-check on purpose: a node goes on with the instant it had read before it
    /// stopped.
    bool stalePresent = false;
};

/// What one sending of a request ended with.
struct SendingEnd
{
    std::string key;
    FailureReason reason = FailureReason::None;
    Outcome outcome = Outcome::NotRun;
    std::optional<Outcome> firstOutcome;
    bool ran = false;
};

/// Several nodes' claims round one store, in virtual time. The target is a counter of runs.
class ClaimWorld
{
public:
    static constexpr Duration retention = std::chrono::seconds(15);

    ClaimWorld(std::size_t nodeCount, std::uint64_t seed, ClaimFaults faults);

    FakeStore store;
    ClaimFaults faults;
    std::map<std::string, int> runs;
    std::map<QueryId, SendingEnd> ends;
    std::uint64_t sendings = 0;
    /// The next sendings end so; empty draws one.
    std::optional<Outcome> nextOutcome;

    /// Sends a request id to a node at a time.
    void send(std::size_t node, const std::string &id, Instant at, WallTime issuedAt);
    void pause(std::size_t node, Instant from, Instant until);
    void addOutage(Instant from, Instant until) { this->outages.emplace_back(from, until); }
    /// Random sendings of some ids with random faults.
    void scatter(std::size_t idCount);
    void runUntil(Instant end);

    static Instant at(Duration time) { return Instant(std::chrono::hours(1)) + time; }
    static WallTime wall(Duration time) { return WallTime(std::chrono::hours(500000)) + time; }

private:
    struct Node
    {
        explicit Node(const Settings &settings) : claims(settings), random(settings.seed) { }

        Claims claims;
        RandomEngine random;
        IdSource ids;
        Duration clockError {};
        Instant pausedFrom {};
        Instant pausedUntil {};
        std::map<Timer, Instant> timers;
    };
    using Action = std::function<void(Context &)>;

    void post(std::size_t node, Instant at, Action action);
    void apply(std::size_t node, Instant turnBegan, Instant present, const Action &action);
    void carryOut(std::size_t node, std::vector<Effect> &effects);
    void startOperation(std::size_t node, const StoreOperation &operation);
    void deliver(std::size_t node, const StoreOperation &operation,
                 std::shared_ptr<StoreReplied> reply, Instant at);
    void finish(std::size_t node, const ClaimEnd &end);
    bool isOut(Instant at) const;
    Duration draw(Duration lowest, Duration highest);
    bool chance(double probability);

    std::mt19937_64 random;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::pair<Instant, Instant>> outages;
    std::multimap<Instant, std::function<void()>> agenda;
    Instant now = ClaimWorld::at(Duration(0));
};

} // namespace lagoondeck
