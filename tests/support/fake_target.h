#pragma once

#include "core/instance_list.h"
#include "logic/effects.h"
#include "logic/events.h"
#include "tests/support/event_schedule.h"
#include "tests/support/world_random.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <vector>

namespace lagoondeck {

/// One connection between a node's life and a target.
struct Wire
{
    std::uint64_t node = 0;
    ConnectionId connection;

    auto operator<=>(const Wire &) const = default;
};

/// A target in memory: slots, a queue, deadlines, cancellation, versions, and ways to misbehave.
class FakeTarget
{
public:
    struct Hooks
    {
        /// The target sends a reply over a connection.
        std::function<void(const Wire &, TargetReplied)> reply;
        /// A sub-request begins to run.
        std::function<void(const SendSubRequest &, const Wire &)> ran;
        /// The target ends all connections at once.
        std::function<void(FakeTarget &)> crashed;
    };

    FakeTarget(TargetInstance info, EventSchedule &schedule, WorldRandom &random, Hooks hooks);

    bool accept(const Wire &wire);
    /// A connection ended; what it carried is cancelled.
    void drop(const Wire &wire);
    void take(const Wire &wire, const SendSubRequest &request);
    void cancel(std::uint64_t node, AttemptId attempt);
    TargetReport report();

    void crash();
    void restart() { this->alive = true; }
    /// What comes meanwhile is handled afterwards.
    void pauseFor(Duration duration);
    /// Runs an action now, or when the pause is over.
    void whenAwake(std::function<void()> action);

    TargetInstance info;
    std::map<SnapshotVersion, std::uint32_t> versions;
    bool alive = true;
    bool leaving = false;
    bool lies = false;
    double slowness = 1.0;
    double shedPart = 0.0;
    Instant pausedUntil {};
    Instant leavingSince {};

private:
    struct Job
    {
        Wire wire;
        SendSubRequest request;
        Instant deadline {};
        std::uint64_t number = 0;
    };

    void refuse(const Job &job, ReplyKind kind);
    void begin(Job job);
    void end(std::uint64_t number);
    void runNext();
    TargetReplied answerTo(const Job &job);

    EventSchedule &schedule;
    WorldRandom &random;
    Hooks hooks;
    std::set<Wire> wires;
    std::list<Job> queue;
    std::list<Job> running;
    std::uint64_t lastJob = 0;
};

/// The documents that a shard holds in a version; targets and checks agree on it.
std::uint64_t fakeDocuments(ShardId shard, SnapshotVersion version);

/// A request with this in its body ends each target that runs it.
inline constexpr const char *poisonBody = "{\"poison\":true}";

} // namespace lagoondeck
