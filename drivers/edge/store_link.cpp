#include "drivers/edge/store_link.h"

#include "core/os/clock.h"
#include "logic/workload/connection_eviction.h"
#include "platform/store_call_codec.h"

#include <utility>
#include <vector>

namespace lagoondeck {

namespace {

/// The store is called about once per second. A connection that has been idle for longer than this
/// may be dead.
constexpr Duration maxIdleTime = std::chrono::seconds(8);

} // namespace

StoreLink::StoreLink(EdgeLoop &loop, std::string address, Sink sink, const ReplyLimits &limits)
    : loop(loop), address(std::move(address)), sink(std::move(sink)), replyBytes(limits.heldBytes),
      message(limits.message)
{
    this->hooks.onOverBudget = [this] { this->evictHolders(); };
    this->hooks.onReply = [this](ClientLink &link, HttpMessage message) {
        return this->onReply(link, std::move(message));
    };
    this->hooks.onEnd = [this](ClientLink &link, LinkEndKind end) { this->onEnd(link, end); };
}

StoreLink::~StoreLink() = default;

void StoreLink::call(const CallStore &effect, Instant now)
{
    ++this->callCount;
    Entry *chosen = nullptr;
    for (auto &[id, entry] : this->links) {
        if (entry.link->isReusable() && now <= entry.link->idleUntil) {
            chosen = &entry;
            break;
        }
    }
    const bool isNew = chosen == nullptr;
    if (isNew) {
        const std::uint64_t id = ++this->lastId;
        chosen = &this->links[id];
        chosen->link =
                std::make_unique<ClientLink>(this->loop, this->address, id, this->hooks,
                                             this->replyBytes, this->message, now + effect.timeout);
    }
    chosen->operation = effect.operation;
    chosen->calledAt = now;
    chosen->isKept = !isNew;
    chosen->answerDeadline = now + (isNew ? effect.timeout : effect.keptConnectionTimeout);
    ClientLink *link = chosen->link.get();
    if (isNew) {
        link->start();
    }
    if (!link->hasEnded()) {
        link->send([call = effect.call,
                    address = this->address] { return wire::writeStoreCall(call, address); },
                   false);
    }
}

bool StoreLink::onReply(ClientLink &link, HttpMessage message)
{
    Entry &entry = this->links.at(link.id());
    this->report(entry, wire::readStoreAnswer(message));
    entry.operation = StoreOpId();
    link.idleUntil = monotonicNow() + maxIdleTime;
    return true;
}

void StoreLink::evictHolders()
{
    std::vector<ConnectionLoad> loads;
    for (const auto &[id, entry] : this->links) {
        loads.push_back({id, this->address, entry.link->heldBytes(),
                         ConnectionLoad::Phase::Receiving, Duration::zero()});
    }
    for (const std::uint64_t id :
         ConnectionEviction::chooseHolders(loads, this->replyBytes.excess())) {
        this->links.at(id).link->close(LinkEndKind::Malformed);
    }
}

void StoreLink::report(const Entry &entry, StoreAnswer answer)
{
    answer.onKeptConnection = entry.isKept;
    answer.elapsed = monotonicNow() - entry.calledAt;
    this->sink(StoreAnswered {entry.operation, std::move(answer)});
}

void StoreLink::onEnd(ClientLink &link, LinkEndKind)
{
    const auto found = this->links.find(link.id());
    Entry entry = std::move(found->second);
    this->links.erase(found);
    if (entry.operation != StoreOpId()) {
        this->report(entry, StoreAnswer {});
    }
    this->loop.deleteLater(std::move(entry.link));
}

void StoreLink::checkTimeouts(Instant now)
{
    std::vector<ClientLink *> expired;
    for (const auto &[id, entry] : this->links) {
        if (entry.operation != StoreOpId() && now > entry.answerDeadline) {
            expired.push_back(entry.link.get());
        }
    }
    if (!expired.empty()) {
        // What silenced one connection has probably silenced the idle ones too.
        this->dropIdle();
    }
    for (ClientLink *link : expired) {
        link->close(LinkEndKind::Lost);
    }
}

void StoreLink::dropIdle()
{
    std::vector<ClientLink *> idleLinks;
    for (const auto &[id, entry] : this->links) {
        if (entry.link->isReusable()) {
            idleLinks.push_back(entry.link.get());
        }
    }
    for (ClientLink *link : idleLinks) {
        link->close(LinkEndKind::Closed);
    }
}

} // namespace lagoondeck
