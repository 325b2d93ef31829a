#pragma once

#include "logic/effects.h"
#include "logic/events.h"
#include "tests/support/event_schedule.h"
#include "tests/support/fake_target.h"
#include "tests/support/simulation_random.h"
#include "tests/support/simulation_record.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lagoondeck {

/// The simulated connections between instances and targets, and their faults.
class FakeNetwork
{
public:
    /// Delivers an event to an instance.
    using Deliver = std::function<void(std::uint64_t node, EventBody body)>;

    FakeNetwork(EventSchedule &schedule, SimulationRandom &random, SimulationRecord &record,
                Deliver deliver);

    FakeTarget &addTarget(const TargetInstance &info);
    const std::vector<std::unique_ptr<FakeTarget>> &targets() const { return this->allTargets; }

    FakeTarget *find(const TargetId &target);

    void open(std::uint64_t node, const OpenConnection &effect);
    void close(std::uint64_t node, const CloseConnection &effect);
    void send(std::uint64_t node, const SendSubRequest &effect);
    void cancel(std::uint64_t node, const CancelSubRequest &effect);
    void probe(std::uint64_t node, const ProbeTarget &effect);

    /// Breaks each open connection with the given probability.
    void breakConnections(double probability);
    /// Drops all connections of an instance that has stopped or crashed.
    void removeNode(std::uint64_t node);

    /// Probability that a duplicate or misaddressed copy of a reply is also sent, and,
    /// independently, that an answer states another snapshot version.
    double corruptReplyProbability = 0.0;
    /// Probability that the connection breaks before a reply arrives.
    double replyLossProbability = 0.0;
    Duration extraDelay {};

private:
    struct Link
    {
        FakeTarget *target = nullptr;
        bool open = false;
        std::optional<AttemptId> attempt;
        std::uint64_t uses = 0;
    };

    Duration hopDelay();
    Link *link(const ConnectionKey &key);
    void completeConnect(const ConnectionKey &key, FakeTarget &target);
    void fail(const ConnectionKey &key, const TargetId &target, ConnectionEnd end);
    /// Closes a connection and notifies both the target and the instance.
    void breakLink(const ConnectionKey &key, ConnectionEnd end);
    void reply(const ConnectionKey &key, TargetReplied event);
    void sendCorruptReply(const ConnectionKey &key, const TargetReplied &event);
    void closeIfSilentAfter(const ConnectionKey &key, Duration bound);
    void runOnTarget(const ConnectionKey &key, std::function<void(FakeTarget &)> action);

    EventSchedule &schedule;
    SimulationRandom &random;
    SimulationRecord &record;
    Deliver deliver;
    std::vector<std::unique_ptr<FakeTarget>> allTargets;
    std::map<TargetId, FakeTarget *> targetsById;
    std::map<ConnectionKey, Link> links;
};

} // namespace lagoondeck
