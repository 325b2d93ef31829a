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

/// The faults that are injected in a run.
struct ClaimFaults
{
    /// The probability that a store reply is lost.
    double lostReplies = 0.0;
    /// The probability that a store reply may arrive after the operation's timeout.
    double lateReplies = 0.0;
    bool outages = false;
    /// Instances are paused for a while, in some cases for longer than a claim's lifetime.
    bool pauses = false;
    /// Breaks the check after a pause on purpose: an instance continues with the time that it read
    /// before the pause.
    bool staleClock = false;
};

/// The result of sending a request once.
struct SendResult
{
    std::string key;
    FailureReason reason = FailureReason::None;
    Outcome outcome = Outcome::NotRun;
    std::optional<Outcome> firstOutcome;
    bool ran = false;
};

/// Simulates the claims of several instances on one store in virtual time. Targets are simulated by
/// counting the runs of each request.
class ClaimSimulation
{
public:
    static constexpr Duration retention = std::chrono::seconds(15);

    ClaimSimulation(std::size_t nodeCount, std::uint64_t seed, ClaimFaults faults);

    FakeStore store;
    ClaimFaults faults;
    std::map<std::string, int> runs;
    std::map<QueryId, SendResult> results;
    std::uint64_t sendCount = 0;
    /// The outcome of the following requests; random when empty.
    std::optional<Outcome> nextOutcome;

    /// Sends a request with the given id to an instance at the given instant.
    void send(std::size_t node, const std::string &id, Instant at, WallTime issuedAt);
    void pause(std::size_t node, Instant from, Instant until);
    void addOutage(Instant from, Instant until) { this->outages.emplace_back(from, until); }
    /// Sends requests with the given number of ids, repeatedly and at random times, with the
    /// enabled faults at random times.
    void sendRandomly(std::size_t idCount);
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

    void enqueue(std::size_t node, Instant at, Action action);
    void apply(std::size_t node, Instant scheduledAt, Instant actualNow, const Action &action);
    void executeEffects(std::size_t node, std::vector<Effect> &effects);
    void startOperation(std::size_t node, const StoreOperation &operation);
    void deliver(std::size_t node, const StoreOperation &operation,
                 std::shared_ptr<StoreReplied> reply, Instant at);
    void onClaimResult(std::size_t node, const ClaimResult &end);
    bool isOutage(Instant at) const;
    Duration randomDuration(Duration min, Duration max);
    bool chance(double probability);

    std::mt19937_64 random;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::pair<Instant, Instant>> outages;
    std::multimap<Instant, std::function<void()>> eventQueue;
    Instant now = ClaimSimulation::at(Duration(0));
};

} // namespace lagoondeck
