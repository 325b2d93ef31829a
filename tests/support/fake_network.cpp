#include "tests/support/fake_network.h"

#include <utility>

namespace lagoondeck {

namespace {

constexpr Duration minHopDelay = std::chrono::microseconds(200);
constexpr Duration maxHopDelay = std::chrono::microseconds(900);
constexpr Duration connectTime = std::chrono::milliseconds(6);
constexpr Duration connectTimeout = std::chrono::seconds(1);
constexpr Duration replyGrace = std::chrono::milliseconds(200);

} // namespace

FakeNetwork::FakeNetwork(EventSchedule &schedule, SimulationRandom &random,
                         SimulationRecord &record, Deliver deliver)
    : schedule(schedule), random(random), record(record), deliver(std::move(deliver))
{ }

FakeTarget &FakeNetwork::addTarget(const TargetInstance &info)
{
    FakeTarget::Hooks hooks;
    hooks.reply = [this](const ConnectionKey &key, TargetReplied event) {
        this->reply(key, std::move(event));
    };
    hooks.subRequestStarted = [this](const SendSubRequest &request, const ConnectionKey &) {
        this->record.recordRun(request);
    };
    hooks.crashed = [this](FakeTarget &target) {
        std::vector<ConnectionKey> broken;
        for (const auto &[key, link] : this->links) {
            if (link.target == &target && link.open) {
                broken.push_back(key);
            }
        }
        for (const ConnectionKey &key : broken) {
            this->breakLink(key, ConnectionEnd::Lost);
        }
    };
    this->allTargets.push_back(
            std::make_unique<FakeTarget>(info, this->schedule, this->random, std::move(hooks)));
    this->targetsById[info.id] = this->allTargets.back().get();
    return *this->allTargets.back();
}

Duration FakeNetwork::hopDelay()
{
    return this->random.duration(minHopDelay, maxHopDelay)
            + this->random.duration(Duration::zero(), this->extraDelay);
}

FakeTarget *FakeNetwork::find(const TargetId &target)
{
    const auto found = this->targetsById.find(target);
    return found == this->targetsById.end() ? nullptr : found->second;
}

FakeNetwork::Link *FakeNetwork::link(const ConnectionKey &key)
{
    const auto found = this->links.find(key);
    return found == this->links.end() ? nullptr : &found->second;
}

void FakeNetwork::fail(const ConnectionKey &key, const TargetId &target, ConnectionEnd end)
{
    this->links.erase(key);
    this->deliver(key.node, ConnectionClosed {key.connection, target, end});
}

void FakeNetwork::open(std::uint64_t node, const OpenConnection &effect)
{
    const ConnectionKey key {node, effect.connection};
    FakeTarget *target = this->find(effect.target);
    this->links[key] = {target};
    this->schedule.after(this->hopDelay(), [this, key, target] {
        if (this->link(key) == nullptr) {
            return;
        }
        if (!target->alive || this->schedule.now() < target->pausedUntil) {
            const Duration wait = target->alive ? connectTimeout : this->hopDelay();
            this->schedule.after(wait, [this, key, target] {
                if (this->link(key) != nullptr) {
                    this->fail(key, target->info.id, ConnectionEnd::ConnectFailed);
                }
            });
            return;
        }
        this->completeConnect(key, *target);
    });
}

void FakeNetwork::completeConnect(const ConnectionKey &key, FakeTarget &target)
{
    if (!target.accept(key)) {
        this->fail(key, target.info.id, ConnectionEnd::RefusedAtCap);
        return;
    }
    this->links[key].open = true;
    this->schedule.after(connectTime, [this, key, &target] {
        if (Link *link = this->link(key); link != nullptr && link->open) {
            this->deliver(key.node,
                          ConnectionOpened {key.connection, target.info.id, target.report()});
        }
    });
}

void FakeNetwork::close(std::uint64_t node, const CloseConnection &effect)
{
    this->breakLink({node, effect.connection}, ConnectionEnd::ClosedByUs);
}

void FakeNetwork::breakLink(const ConnectionKey &key, ConnectionEnd end)
{
    Link *link = this->link(key);
    if (link == nullptr) {
        return;
    }
    const std::optional<AttemptId> attempt = link->attempt;
    FakeTarget *target = link->target;
    this->links.erase(key);
    this->schedule.after(this->hopDelay(), [target, key] { target->onConnectionClosed(key); });
    this->schedule.after(this->hopDelay(), [this, key, target, end, attempt] {
        this->deliver(key.node,
                      ConnectionClosed {key.connection, target->info.id, end, attempt,
                                        attempt.has_value()});
    });
}

void FakeNetwork::runOnTarget(const ConnectionKey &key, std::function<void(FakeTarget &)> action)
{
    this->schedule.after(this->hopDelay(), [this, key, action = std::move(action)] {
        Link *link = this->link(key);
        if (link == nullptr || !link->target->alive) {
            return;
        }
        FakeTarget *target = link->target;
        target->runAfterPause([this, key, target, action] {
            if (this->link(key) != nullptr && target->alive) {
                action(*target);
            }
        });
    });
}

void FakeNetwork::send(std::uint64_t node, const SendSubRequest &effect)
{
    const ConnectionKey key {node, effect.connection};
    Link *link = this->link(key);
    if (link == nullptr) {
        this->schedule.after(Duration(1), [this, key, effect] {
            this->deliver(key.node,
                          ConnectionClosed {key.connection, effect.target, ConnectionEnd::Lost,
                                            effect.attempt, false});
        });
        return;
    }
    if (!link->open || link->attempt) {
        this->record.addViolation("sub-request on a connection that is not idle");
    }
    if (effect.deadline <= Duration::zero()) {
        this->record.addViolation("sub-request with no time left: " + effect.requestId.value);
    }
    link->attempt = effect.attempt;
    this->runOnTarget(key, [key, effect](FakeTarget &each) { each.receive(key, effect); });
    this->closeIfSilentAfter(key, effect.deadline + replyGrace);
}

void FakeNetwork::closeIfSilentAfter(const ConnectionKey &key, Duration bound)
{
    const std::uint64_t use = ++this->links[key].uses;
    this->schedule.after(bound, [this, key, use] {
        if (Link *link = this->link(key); link != nullptr && link->uses == use) {
            this->breakLink(key, ConnectionEnd::Lost);
        }
    });
}

void FakeNetwork::reply(const ConnectionKey &key, TargetReplied event)
{
    if (this->random.chance(this->replyLossProbability)) {
        this->breakLink(key, ConnectionEnd::Lost);
        return;
    }
    if (this->random.chance(this->corruptReplyProbability)) {
        this->sendCorruptReply(key, event);
    }
    if (event.kind == ReplyKind::Answered && this->random.chance(this->corruptReplyProbability)) {
        ++event.snapshot.value;
    }
    this->schedule.after(this->hopDelay(), [this, key, event = std::move(event)] {
        Link *link = this->link(key);
        if (link == nullptr || link->attempt != event.attempt) {
            return;
        }
        link->attempt.reset();
        ++link->uses;
        this->deliver(key.node, event);
    });
}

void FakeNetwork::sendCorruptReply(const ConnectionKey &key, const TargetReplied &event)
{
    TargetReplied corrupt = event;
    switch (this->random.number(0, 2)) {
    case 0:
        // A duplicate of the reply.
        break;
    case 1:
        corrupt.connection = ConnectionId(corrupt.connection.value + 1);
        break;
    default:
        corrupt.attempt = AttemptId(corrupt.attempt.value + 100000);
        break;
    }
    // The genuine reply arrives first.
    this->schedule.after(2 * maxHopDelay + 2 * this->extraDelay + this->hopDelay(),
                         [this, key, corrupt] { this->deliver(key.node, corrupt); });
}

void FakeNetwork::cancel(std::uint64_t node, const CancelSubRequest &effect)
{
    const ConnectionKey attemptConnection {node, effect.connection};
    if (!effect.cancelConnection) {
        if (Link *link = this->link(attemptConnection);
            link != nullptr && link->attempt == effect.attempt) {
            this->breakLink(attemptConnection, ConnectionEnd::ClosedByUs);
        }
        return;
    }
    const ConnectionKey cancelConnection {node, *effect.cancelConnection};
    if (this->link(cancelConnection) == nullptr) {
        return;
    }
    this->closeIfSilentAfter(cancelConnection, connectTimeout);
    this->runOnTarget(
            cancelConnection,
            [this, cancelConnection, node, attempt = effect.attempt](FakeTarget &target) {
                target.cancel(node, attempt);
                const TargetId targetId = target.info.id;
                this->schedule.after(this->hopDelay(), [this, cancelConnection, targetId] {
                    if (Link *link = this->link(cancelConnection)) {
                        ++link->uses;
                        this->deliver(cancelConnection.node,
                                      CancelConfirmed {cancelConnection.connection, targetId});
                    }
                });
            });
}

void FakeNetwork::probe(std::uint64_t node, const ProbeTarget &effect)
{
    const ConnectionKey key {node, effect.connection};
    if (this->link(key) == nullptr) {
        return;
    }
    this->closeIfSilentAfter(key, connectTimeout);
    this->runOnTarget(key, [this, key](FakeTarget &target) {
        TargetHealth health {key.connection, target.info.id, target.report()};
        this->schedule.after(this->hopDelay(), [this, key, health] {
            if (Link *link = this->link(key)) {
                ++link->uses;
                this->deliver(key.node, health);
            }
        });
    });
}

void FakeNetwork::breakConnections(double probability)
{
    std::vector<ConnectionKey> broken;
    for (const auto &[key, link] : this->links) {
        if (link.open && this->random.chance(probability)) {
            broken.push_back(key);
        }
    }
    for (const ConnectionKey &key : broken) {
        this->breakLink(key, ConnectionEnd::Lost);
    }
}

void FakeNetwork::removeNode(std::uint64_t node)
{
    for (auto at = this->links.lower_bound({node, ConnectionId(0)});
         at != this->links.end() && at->first.node == node;) {
        at->second.target->onConnectionClosed(at->first);
        at = this->links.erase(at);
    }
}

} // namespace lagoondeck
