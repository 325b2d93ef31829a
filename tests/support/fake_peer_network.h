#pragma once

#include "core/instance_list.h"
#include "core/log_event.h"
#include "logic/effects.h"
#include "logic/events.h"
#include "proto/peer.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lagoondeck::testing {

/// An in-memory network for peer messages between instances, with simulated time. An instance turns
/// events into effects like the reducer: `std::vector<Effect> apply(const Event &)`. Messages are
/// delayed and can be lost, at random or by a partition.
template <typename Node>
class FakePeerNetwork
{
public:
    /// Handles an instance's store operations. If empty, they get no reply.
    using StoreHandler = std::function<void(std::size_t node, const Effect &effect)>;

    explicit FakePeerNetwork(std::uint64_t seed) : random(seed) { }

    double lossProbability = 0.0;
    Duration minDelay = std::chrono::microseconds(200);
    Duration maxDelay = std::chrono::milliseconds(3);
    /// Returns true for two instances whose messages are lost; empty for no partition.
    std::function<bool(std::size_t, std::size_t)> isPartitioned;
    StoreHandler store;

    std::size_t add(EntryInstance instance, std::unique_ptr<Node> node)
    {
        this->byAddress[instance.peerAddress] = this->slots.size();
        this->slots.push_back({std::move(instance), std::move(node)});
        const std::size_t index = this->slots.size() - 1;
        this->deliver(index, ProcessStarted {});
        return index;
    }

    Node &node(std::size_t index) { return *this->slots[index].node; }
    const EntryInstance &instance(std::size_t index) const { return this->slots[index].instance; }
    std::size_t size() const { return this->slots.size(); }
    bool isAlive(std::size_t index) const { return this->slots[index].node != nullptr; }
    Instant now() const { return this->clock; }
    std::uint64_t messagesSent(std::size_t index) const { return this->slots[index].messages; }
    std::uint64_t bytesSent(std::size_t index) const { return this->slots[index].bytes; }
    std::uint64_t largestMessage() const { return this->largestBytes; }
    std::uint64_t logCount(std::size_t index, LogEvent event) const
    {
        const auto found = this->slots[index].logs.find(event);
        return found == this->slots[index].logs.end() ? 0 : found->second;
    }

    void kill(std::size_t index) { this->slots[index].node.reset(); }
    /// A paused instance gets no events until it resumes; then it gets the queued ones at once.
    void pause(std::size_t index) { this->slots[index].isPaused = true; }
    void resume(std::size_t index)
    {
        this->slots[index].isPaused = false;
        std::vector<EventBody> waiting = std::exchange(this->slots[index].waiting, {});
        for (EventBody &body : waiting) {
            this->deliver(index, std::move(body));
        }
    }

    /// Delivers the list of all running instances to an instance.
    void listInstances(std::size_t index)
    {
        InstanceList list;
        for (const Slot &slot : this->slots) {
            if (slot.node) {
                list.entries.push_back(slot.instance);
            }
        }
        this->deliver(index, InstancesListed {std::move(list)});
    }
    void listInstancesToAll()
    {
        for (std::size_t i = 0; i < this->slots.size(); ++i) {
            this->listInstances(i);
        }
    }

    void deliver(std::size_t index, EventBody body)
    {
        Slot &slot = this->slots[index];
        if (!slot.node) {
            return;
        }
        if (slot.isPaused) {
            slot.waiting.push_back(std::move(body));
            return;
        }
        const Event event {this->clock, WallTime(this->clock.time_since_epoch()), std::move(body)};
        for (const Effect &effect : slot.node->apply(event)) {
            this->execute(index, effect);
        }
    }

    void after(Duration delay, std::function<void()> action)
    {
        this->schedule.push({this->clock + delay, ++this->sequence, std::move(action)});
    }

    void runFor(Duration duration)
    {
        const Instant end = this->clock + duration;
        while (!this->schedule.empty() && this->schedule.top().at <= end) {
            Scheduled next = this->schedule.top();
            this->schedule.pop();
            this->clock = next.at;
            next.action();
        }
        this->clock = end;
    }

    /// Runs until the condition holds, checked after each step. Returns false if it does not hold
    /// within the time limit.
    template <typename Condition>
    bool runUntil(Condition &&condition, Duration limit,
                  Duration step = std::chrono::milliseconds(10))
    {
        for (const Instant end = this->clock + limit; this->clock < end;) {
            if (condition()) {
                return true;
            }
            this->runFor(step);
        }
        return condition();
    }

private:
    struct Slot
    {
        EntryInstance instance;
        std::unique_ptr<Node> node;
        bool isPaused = false;
        std::vector<EventBody> waiting;
        std::map<Timer, std::uint64_t> timers;
        std::map<LogEvent, std::uint64_t> logs;
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };
    struct Scheduled
    {
        Instant at {};
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator<(const Scheduled &other) const
        {
            return std::pair(other.at, other.sequence) < std::pair(this->at, this->sequence);
        }
    };

    void execute(std::size_t index, const Effect &effect)
    {
        if (const auto *send = std::get_if<SendPeerMessage>(&effect)) {
            this->sendMessage(index, *send);
        } else if (const auto *timer = std::get_if<SetTimer>(&effect)) {
            this->setTimer(index, *timer);
        } else if (const auto *log = std::get_if<WriteLog>(&effect)) {
            this->slots[index].logs[log->event] += 1;
        } else if (this->store) {
            this->store(index, effect);
        }
    }

    void sendMessage(std::size_t from, const SendPeerMessage &send)
    {
        // The message is serialised so that instances share no objects.
        const std::string bytes = send.message->SerializeAsString();
        this->slots[from].messages += 1;
        this->slots[from].bytes += bytes.size();
        this->largestBytes = std::max<std::uint64_t>(this->largestBytes, bytes.size());
        const auto found = this->byAddress.find(send.address);
        std::uniform_real_distribution<double> chance;
        if (found == this->byAddress.end() || chance(this->random) < this->lossProbability
            || (this->isPartitioned && this->isPartitioned(from, found->second))) {
            return;
        }
        std::uniform_int_distribution<Duration::rep> delay(this->minDelay.count(),
                                                           this->maxDelay.count());
        this->after(Duration(delay(this->random)), [this, to = found->second, bytes] {
            auto message = std::make_shared<proto::PeerMessage>();
            message->ParseFromString(bytes);
            this->deliver(to, PeerMessageReceived {std::move(message)});
        });
    }

    void setTimer(std::size_t index, const SetTimer &set)
    {
        const std::uint64_t generation = ++this->slots[index].timers[set.timer];
        this->after(set.at - this->clock, [this, index, timer = set.timer, generation] {
            if (this->slots[index].timers[timer] == generation) {
                this->deliver(index, TimerFired {timer});
            }
        });
    }

    std::mt19937_64 random;
    Instant clock = Instant(std::chrono::seconds(1000));
    std::uint64_t sequence = 0;
    std::uint64_t largestBytes = 0;
    std::priority_queue<Scheduled> schedule;
    std::vector<Slot> slots;
    std::map<std::string, std::size_t> byAddress;
};

} // namespace lagoondeck::testing
