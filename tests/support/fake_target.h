#pragma once

#include "core/instance_list.h"
#include "logic/effects.h"
#include "logic/events.h"
#include "tests/support/event_schedule.h"
#include "tests/support/simulation_random.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <vector>

namespace lagoondeck {

/// Identifies a connection between an instance and a target.
struct ConnectionKey
{
    std::uint64_t node = 0;
    ConnectionId connection;

    auto operator<=>(const ConnectionKey &) const = default;
};

/// A simulated target with slots, a queue, deadlines, cancellation and index versions, whose faults
/// can be switched on.
class FakeTarget
{
public:
    struct Hooks
    {
        /// Called when the target sends a reply over a connection.
        std::function<void(const ConnectionKey &, TargetReplied)> reply;
        /// Called when a sub-request starts to run.
        std::function<void(const SendSubRequest &, const ConnectionKey &)> subRequestStarted;
        /// Called when the target crashes and loses all its connections.
        std::function<void(FakeTarget &)> crashed;
    };

    FakeTarget(TargetInstance info, EventSchedule &schedule, SimulationRandom &random, Hooks hooks);

    bool accept(const ConnectionKey &key);
    /// Cancels the sub-requests that a closed connection carried.
    void onConnectionClosed(const ConnectionKey &key);
    void receive(const ConnectionKey &key, const SendSubRequest &request);
    void cancel(std::uint64_t node, AttemptId attempt);
    TargetReport report();

    void crash();
    void restart() { this->alive = true; }
    /// Pauses the target; messages that arrive during the pause are handled after it.
    void pauseFor(Duration duration);
    /// Runs the action now, or after the pause if the target is paused.
    void runAfterPause(std::function<void()> action);

    TargetInstance info;
    std::map<SnapshotVersion, std::uint32_t> versions;
    bool alive = true;
    bool leaving = false;
    bool misreportsLoad = false;
    double slowdown = 1.0;
    double shedProbability = 0.0;
    Instant pausedUntil {};
    Instant leavingSince {};

private:
    struct Job
    {
        ConnectionKey key;
        SendSubRequest request;
        Instant deadline {};
        std::uint64_t number = 0;
    };

    void refuse(const Job &job, ReplyKind kind);
    void startJob(Job job);
    void finishJob(std::uint64_t number);
    void runNext();
    TargetReplied answerTo(const Job &job);

    EventSchedule &schedule;
    SimulationRandom &random;
    Hooks hooks;
    std::set<ConnectionKey> connections;
    std::list<Job> queue;
    std::list<Job> running;
    std::uint64_t lastJob = 0;
};

/// Returns the number of documents of a shard in an index version, which targets report and
/// SimulationRecord verifies.
std::uint64_t fakeDocumentCount(ShardId shard, SnapshotVersion version);

/// A request with this body crashes each target that runs it.
inline constexpr const char *poisonBody = "{\"poison\":true}";

} // namespace lagoondeck
