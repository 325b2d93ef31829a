#include "drivers/edge/target_links.h"

#include "core/os/clock.h"
#include "platform/message_codec.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

/// How long an idle link is kept when its target does not tell how long it keeps it.
constexpr Duration untoldIdleTime = std::chrono::milliseconds(800);
/// A link is given up this much before its target would close it: a request that crosses the
/// target's close is lost.
constexpr Duration idleMargin = std::chrono::milliseconds(400);

AttemptEndKind attemptEndOf(LinkEnd end)
{
    switch (end) {
    case LinkEnd::Unreachable:
        return AttemptEndKind::Unreachable;
    case LinkEnd::Lost:
        return AttemptEndKind::Lost;
    case LinkEnd::Spoiled:
        return AttemptEndKind::Malformed;
    case LinkEnd::Closed:
        return AttemptEndKind::Closed;
    }
    return AttemptEndKind::Lost;
}

} // namespace

TargetLinks::TargetLinks(EdgeLoop &loop, Sink sink) : loop(loop), sink(std::move(sink))
{
    this->hooks.onReply = [this](ClientLink &link, HttpMessage message) {
        return this->onReply(link, std::move(message));
    };
    this->hooks.onEnd = [this](ClientLink &link, LinkEnd end) { this->onEnd(link, end); };
}

TargetLinks::~TargetLinks() = default;

ClientLink *TargetLinks::takeIdle(const std::string &key, Instant now)
{
    const auto found = this->idle.find(key);
    if (found == this->idle.end() || found->second.empty()) {
        return nullptr;
    }
    const std::uint64_t id = found->second.back();
    found->second.pop_back();
    ClientLink *link = this->links.at(id).link.get();
    if (now <= link->idleUntil) {
        return link;
    }
    // All others have been idle for longer.
    link->close(LinkEnd::Closed);
    return nullptr;
}

void TargetLinks::start(const StartAttempt &effect, Instant now)
{
    const std::string key = effect.target.value + "@" + effect.address;
    ClientLink *link = this->takeIdle(key, now);
    const bool fresh = link == nullptr;
    if (fresh) {
        const std::uint64_t id = ++this->lastId;
        Entry &entry = this->links[id];
        entry.link = std::make_unique<ClientLink>(this->loop, effect.address, id, this->hooks, now);
        entry.key = key;
        link = entry.link.get();
        ++this->openedCount;
    }
    Entry &entry = this->links.at(link->id());
    entry.attempt = effect.attempt;
    entry.request = effect.request;
    this->carriers[effect.attempt] = link->id();
    ++this->sentCount;
    if (fresh) {
        link->begin();
    }
    if (!link->ended()) {
        link->send(wire::writeTargetRequest(*effect.request, effect.target.value, effect.timeLeft),
                   effect.request->method == "HEAD");
    }
}

bool TargetLinks::onReply(ClientLink &link, HttpMessage message)
{
    Entry &entry = this->links.at(link.id());
    const Duration idleTime = wire::readIdleTime(message.fields).value_or(untoldIdleTime);
    auto reply = std::make_shared<ForwardedReply>(
            wire::readTargetReply(std::move(message), entry.request->requestId));
    if (reply->otherRequest) {
        // A late reply to an earlier request stands where the answer is due.
        return false;
    }
    const AttemptId attempt = entry.attempt;
    this->carriers.erase(attempt);
    entry.attempt = AttemptId();
    entry.request.reset();
    if (link.reusable()) {
        link.idleUntil = monotonicNow() + std::max(idleTime - idleMargin, idleTime / 2);
        this->idle[entry.key].push_back(link.id());
    }
    this->sink(AttemptReplied {attempt, std::move(reply)});
    return true;
}

void TargetLinks::onEnd(ClientLink &link, LinkEnd end)
{
    const auto found = this->links.find(link.id());
    Entry entry = std::move(found->second);
    this->links.erase(found);
    if (const auto idleLinks = this->idle.find(entry.key); idleLinks != this->idle.end()) {
        std::erase(idleLinks->second, link.id());
        if (idleLinks->second.empty()) {
            this->idle.erase(idleLinks);
        }
    }
    if (entry.attempt != AttemptId()) {
        this->carriers.erase(entry.attempt);
        this->sink(AttemptEnded {entry.attempt, attemptEndOf(end)});
    }
    this->loop.keepUntilIdle(std::move(entry.link));
}

void TargetLinks::closeAttempt(AttemptId attempt)
{
    if (const auto found = this->carriers.find(attempt); found != this->carriers.end()) {
        this->links.at(found->second).link->close(LinkEnd::Closed);
    }
}

void TargetLinks::dropIdle()
{
    std::vector<ClientLink *> drop;
    for (const auto &[key, ids] : this->idle) {
        for (const std::uint64_t id : ids) {
            drop.push_back(this->links.at(id).link.get());
        }
    }
    for (ClientLink *link : drop) {
        link->close(LinkEnd::Closed);
    }
}

void TargetLinks::checkTime(Instant now)
{
    std::vector<ClientLink *> all;
    all.reserve(this->links.size());
    for (const auto &[id, entry] : this->links) {
        all.push_back(entry.link.get());
    }
    for (ClientLink *link : all) {
        link->checkTime(now);
    }
}

} // namespace lagoondeck
