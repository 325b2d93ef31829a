#include "tests/support/fake_network.h"

#include <utility>

namespace lagoondeck {

namespace {

constexpr Duration shortestHop = std::chrono::microseconds(200);
constexpr Duration longestHop = std::chrono::microseconds(900);
constexpr Duration connectTime = std::chrono::milliseconds(6);
constexpr Duration connectTimeout = std::chrono::seconds(1);
constexpr Duration replyGrace = std::chrono::milliseconds(200);

} // namespace

FakeNetwork::FakeNetwork(EventSchedule &schedule, WorldRandom &random, WorldRecord &record,
                         Deliver deliver)
    : schedule(schedule), random(random), record(record), deliver(std::move(deliver))
{ }

FakeTarget &FakeNetwork::addTarget(const TargetInstance &info)
{
    FakeTarget::Hooks hooks;
    hooks.reply = [this](const Wire &wire, TargetReplied event) {
        this->reply(wire, std::move(event));
    };
    hooks.ran = [this](const SendSubRequest &request, const Wire &) { this->record.ran(request); };
    hooks.crashed = [this](FakeTarget &target) {
        std::vector<Wire> broken;
        for (const auto &[wire, link] : this->links) {
            if (link.target == &target && link.open) {
                broken.push_back(wire);
            }
        }
        for (const Wire &wire : broken) {
            this->breakLink(wire, ConnectionEnd::Lost);
        }
    };
    this->all.push_back(
            std::make_unique<FakeTarget>(info, this->schedule, this->random, std::move(hooks)));
    this->byName[info.id] = this->all.back().get();
    return *this->all.back();
}

Duration FakeNetwork::hop()
{
    return this->random.duration(shortestHop, longestHop)
            + this->random.duration(Duration::zero(), this->extraDelay);
}

FakeTarget *FakeNetwork::find(const TargetId &target)
{
    const auto found = this->byName.find(target);
    return found == this->byName.end() ? nullptr : found->second;
}

FakeNetwork::Link *FakeNetwork::link(const Wire &wire)
{
    const auto found = this->links.find(wire);
    return found == this->links.end() ? nullptr : &found->second;
}

void FakeNetwork::fail(const Wire &wire, const TargetId &target, ConnectionEnd end)
{
    this->links.erase(wire);
    this->deliver(wire.node, ConnectionClosed {wire.connection, target, end});
}

void FakeNetwork::open(std::uint64_t node, const OpenConnection &effect)
{
    const Wire wire {node, effect.connection};
    FakeTarget *target = this->find(effect.target);
    this->links[wire] = {target};
    this->schedule.after(this->hop(), [this, wire, target] {
        if (this->link(wire) == nullptr) {
            return;
        }
        if (!target->alive || this->schedule.now() < target->pausedUntil) {
            const Duration wait = target->alive ? connectTimeout : this->hop();
            this->schedule.after(wait, [this, wire, target] {
                if (this->link(wire) != nullptr) {
                    this->fail(wire, target->info.id, ConnectionEnd::ConnectFailed);
                }
            });
            return;
        }
        this->greet(wire, *target);
    });
}

void FakeNetwork::greet(const Wire &wire, FakeTarget &target)
{
    if (!target.accept(wire)) {
        this->fail(wire, target.info.id, ConnectionEnd::RefusedAtCap);
        return;
    }
    this->links[wire].open = true;
    this->schedule.after(connectTime, [this, wire, &target] {
        if (Link *link = this->link(wire); link != nullptr && link->open) {
            this->deliver(wire.node,
                          ConnectionOpened {wire.connection, target.info.id, target.report()});
        }
    });
}

void FakeNetwork::close(std::uint64_t node, const CloseConnection &effect)
{
    this->breakLink({node, effect.connection}, ConnectionEnd::ClosedByUs);
}

void FakeNetwork::breakLink(const Wire &wire, ConnectionEnd end)
{
    Link *link = this->link(wire);
    if (link == nullptr) {
        return;
    }
    const std::optional<AttemptId> attempt = link->attempt;
    FakeTarget *target = link->target;
    this->links.erase(wire);
    this->schedule.after(this->hop(), [target, wire] { target->drop(wire); });
    this->schedule.after(this->hop(), [this, wire, target, end, attempt] {
        this->deliver(wire.node,
                      ConnectionClosed {wire.connection, target->info.id, end, attempt,
                                        attempt.has_value()});
    });
}

void FakeNetwork::toTarget(const Wire &wire, std::function<void(FakeTarget &)> action)
{
    this->schedule.after(this->hop(), [this, wire, action = std::move(action)] {
        Link *link = this->link(wire);
        if (link == nullptr || !link->target->alive) {
            return;
        }
        FakeTarget *target = link->target;
        target->whenAwake([this, wire, target, action] {
            if (this->link(wire) != nullptr && target->alive) {
                action(*target);
            }
        });
    });
}

void FakeNetwork::send(std::uint64_t node, const SendSubRequest &effect)
{
    const Wire wire {node, effect.connection};
    Link *link = this->link(wire);
    if (link == nullptr) {
        this->schedule.after(Duration(1), [this, wire, effect] {
            this->deliver(wire.node,
                          ConnectionClosed {wire.connection, effect.target, ConnectionEnd::Lost,
                                            effect.attempt, false});
        });
        return;
    }
    if (!link->open || link->attempt) {
        this->record.violate("a connection that is not idle was used");
    }
    if (effect.deadline <= Duration::zero()) {
        this->record.violate("a sub-request without time: " + effect.requestId.value);
    }
    link->attempt = effect.attempt;
    this->toTarget(wire, [wire, effect](FakeTarget &each) { each.take(wire, effect); });
    this->watchSilence(wire, effect.deadline + replyGrace);
}

void FakeNetwork::watchSilence(const Wire &wire, Duration bound)
{
    const std::uint64_t use = ++this->links[wire].uses;
    this->schedule.after(bound, [this, wire, use] {
        if (Link *link = this->link(wire); link != nullptr && link->uses == use) {
            this->breakLink(wire, ConnectionEnd::Lost);
        }
    });
}

void FakeNetwork::reply(const Wire &wire, TargetReplied event)
{
    if (this->random.chance(this->lostPart)) {
        this->breakLink(wire, ConnectionEnd::Lost);
        return;
    }
    if (this->random.chance(this->forgedPart)) {
        this->forge(wire, event);
    }
    if (event.kind == ReplyKind::Answered && this->random.chance(this->forgedPart)) {
        ++event.snapshot.value;
    }
    this->schedule.after(this->hop(), [this, wire, event = std::move(event)] {
        Link *link = this->link(wire);
        if (link == nullptr || link->attempt != event.attempt) {
            return;
        }
        link->attempt.reset();
        ++link->uses;
        this->deliver(wire.node, event);
    });
}

void FakeNetwork::forge(const Wire &wire, const TargetReplied &event)
{
    TargetReplied forged = event;
    switch (this->random.number(0, 2)) {
    case 0:
        // A reply that comes twice.
        break;
    case 1:
        forged.connection = ConnectionId(forged.connection.value + 1);
        break;
    default:
        forged.attempt = AttemptId(forged.attempt.value + 100000);
        break;
    }
    // By then the true reply has come.
    this->schedule.after(2 * longestHop + 2 * this->extraDelay + this->hop(),
                         [this, wire, forged] { this->deliver(wire.node, forged); });
}

void FakeNetwork::cancel(std::uint64_t node, const CancelSubRequest &effect)
{
    const Wire carrier {node, effect.connection};
    if (!effect.via) {
        if (Link *link = this->link(carrier); link != nullptr && link->attempt == effect.attempt) {
            this->breakLink(carrier, ConnectionEnd::ClosedByUs);
        }
        return;
    }
    const Wire via {node, *effect.via};
    if (this->link(via) == nullptr) {
        return;
    }
    this->watchSilence(via, connectTimeout);
    this->toTarget(via, [this, via, node, attempt = effect.attempt](FakeTarget &target) {
        target.cancel(node, attempt);
        const TargetId name = target.info.id;
        this->schedule.after(this->hop(), [this, via, name] {
            if (Link *link = this->link(via)) {
                ++link->uses;
                this->deliver(via.node, CancelConfirmed {via.connection, name});
            }
        });
    });
}

void FakeNetwork::probe(std::uint64_t node, const ProbeTarget &effect)
{
    const Wire wire {node, effect.connection};
    if (this->link(wire) == nullptr) {
        return;
    }
    this->watchSilence(wire, connectTimeout);
    this->toTarget(wire, [this, wire](FakeTarget &target) {
        TargetHealth health {wire.connection, target.info.id, target.report()};
        this->schedule.after(this->hop(), [this, wire, health] {
            if (Link *link = this->link(wire)) {
                ++link->uses;
                this->deliver(wire.node, health);
            }
        });
    });
}

void FakeNetwork::breakSome(double part)
{
    std::vector<Wire> broken;
    for (const auto &[wire, link] : this->links) {
        if (link.open && this->random.chance(part)) {
            broken.push_back(wire);
        }
    }
    for (const Wire &wire : broken) {
        this->breakLink(wire, ConnectionEnd::Lost);
    }
}

void FakeNetwork::forget(std::uint64_t node)
{
    for (auto at = this->links.lower_bound({node, ConnectionId(0)});
         at != this->links.end() && at->first.node == node;) {
        at->second.target->drop(at->first);
        at = this->links.erase(at);
    }
}

} // namespace lagoondeck
