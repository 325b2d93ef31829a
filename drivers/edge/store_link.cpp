#include "drivers/edge/store_link.h"

#include "core/os/clock.h"
#include "platform/store_call_codec.h"

#include <utility>
#include <vector>

namespace lagoondeck {

namespace {

/// The store is called every second or so; a connection that has been idle for longer may have
/// gone silent.
constexpr Duration idleTime = std::chrono::seconds(8);

} // namespace

StoreLink::StoreLink(EdgeLoop &loop, std::string address, Sink sink)
    : loop(loop), address(std::move(address)), sink(std::move(sink))
{
    this->hooks.onReply = [this](ClientLink &link, HttpMessage message) {
        return this->onReply(link, std::move(message));
    };
    this->hooks.onEnd = [this](ClientLink &link, LinkEnd end) { this->onEnd(link, end); };
}

StoreLink::~StoreLink() = default;

void StoreLink::call(const CallStore &effect, Instant now)
{
    ++this->callCount;
    Entry *chosen = nullptr;
    for (auto &[id, entry] : this->links) {
        if (entry.link->reusable() && now <= entry.link->idleUntil) {
            chosen = &entry;
            break;
        }
    }
    const bool fresh = chosen == nullptr;
    if (fresh) {
        const std::uint64_t id = ++this->lastId;
        chosen = &this->links[id];
        chosen->link =
                std::make_unique<ClientLink>(this->loop, this->address, id, this->hooks, now);
    }
    chosen->operation = effect.operation;
    chosen->answerBy = now + effect.timeout;
    ClientLink *link = chosen->link.get();
    if (fresh) {
        link->begin();
    }
    if (!link->ended()) {
        link->send(wire::writeStoreCall(effect.call, this->address), false);
    }
}

bool StoreLink::onReply(ClientLink &link, HttpMessage message)
{
    Entry &entry = this->links.at(link.id());
    StoreAnswered answered {entry.operation, wire::readStoreAnswer(message)};
    entry.operation = StoreOpId();
    link.idleUntil = monotonicNow() + idleTime;
    this->sink(std::move(answered));
    return true;
}

void StoreLink::onEnd(ClientLink &link, LinkEnd)
{
    const auto found = this->links.find(link.id());
    Entry entry = std::move(found->second);
    this->links.erase(found);
    if (entry.operation != StoreOpId()) {
        this->sink(StoreAnswered {entry.operation, StoreAnswer {}});
    }
    this->loop.keepUntilIdle(std::move(entry.link));
}

void StoreLink::checkTime(Instant now)
{
    std::vector<ClientLink *> late;
    for (const auto &[id, entry] : this->links) {
        if (entry.operation != StoreOpId() && now > entry.answerBy) {
            late.push_back(entry.link.get());
        }
    }
    for (ClientLink *link : late) {
        link->close(LinkEnd::Lost);
    }
}

void StoreLink::dropIdle()
{
    std::vector<ClientLink *> drop;
    for (const auto &[id, entry] : this->links) {
        if (entry.link->reusable()) {
            drop.push_back(entry.link.get());
        }
    }
    for (ClientLink *link : drop) {
        link->close(LinkEnd::Closed);
    }
}

} // namespace lagoondeck
