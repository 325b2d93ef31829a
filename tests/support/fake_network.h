#pragma once

#include "logic/effects.h"
#include "logic/events.h"
#include "tests/support/event_schedule.h"
#include "tests/support/fake_target.h"
#include "tests/support/world_random.h"
#include "tests/support/world_record.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lagoondeck {

/// The connections between the nodes and the targets, and what goes wrong on them.
class FakeNetwork
{
public:
    /// Hands an event to one life of a node.
    using Deliver = std::function<void(std::uint64_t node, EventBody body)>;

    FakeNetwork(EventSchedule &schedule, WorldRandom &random, WorldRecord &record, Deliver deliver);

    FakeTarget &addTarget(const TargetInstance &info);
    const std::vector<std::unique_ptr<FakeTarget>> &targets() const { return this->all; }

    FakeTarget *find(const TargetId &target);

    void open(std::uint64_t node, const OpenConnection &effect);
    void close(std::uint64_t node, const CloseConnection &effect);
    void send(std::uint64_t node, const SendSubRequest &effect);
    void cancel(std::uint64_t node, const CancelSubRequest &effect);
    void probe(std::uint64_t node, const ProbeTarget &effect);

    /// Breaks each connection with this probability.
    void breakSome(double part);
    /// A node's life ended: its connections too.
    void forget(std::uint64_t node);

    /// Replies that are doubled, belong elsewhere or name another snapshot.
    double forgedPart = 0.0;
    /// Replies whose connection breaks before they arrive.
    double lostPart = 0.0;
    Duration extraDelay {};

private:
    struct Link
    {
        FakeTarget *target = nullptr;
        bool open = false;
        std::optional<AttemptId> attempt;
        std::uint64_t uses = 0;
    };

    Duration hop();
    Link *link(const Wire &wire);
    void greet(const Wire &wire, FakeTarget &target);
    void fail(const Wire &wire, const TargetId &target, ConnectionEnd end);
    /// Ends a connection from the node's side of it.
    void breakLink(const Wire &wire, ConnectionEnd end);
    void reply(const Wire &wire, TargetReplied event);
    void forge(const Wire &wire, const TargetReplied &event);
    void watchSilence(const Wire &wire, Duration bound);
    void toTarget(const Wire &wire, std::function<void(FakeTarget &)> action);

    EventSchedule &schedule;
    WorldRandom &random;
    WorldRecord &record;
    Deliver deliver;
    std::vector<std::unique_ptr<FakeTarget>> all;
    std::map<TargetId, FakeTarget *> byName;
    std::map<Wire, Link> links;
};

} // namespace lagoondeck
