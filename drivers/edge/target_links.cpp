#include "drivers/edge/target_links.h"

#include "core/os/clock.h"
#include "logic/workload/connection_eviction.h"
#include "platform/message_codec.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

/// With less time a target would refuse the request at once.
constexpr Duration minTimeLimit = std::chrono::milliseconds(1);
/// How long an idle link is kept if the target's reply does not contain an idle time.
constexpr Duration defaultIdleTime = std::chrono::milliseconds(800);
/// An idle link is dropped this much earlier than its target would close it, because a request that
/// is sent while the target closes the connection is lost.
constexpr Duration idleMargin = std::chrono::milliseconds(400);

AttemptEndKind toAttemptEndKind(LinkEndKind end)
{
    switch (end) {
    case LinkEndKind::Unreachable:
        return AttemptEndKind::Unreachable;
    case LinkEndKind::Lost:
        return AttemptEndKind::Lost;
    case LinkEndKind::Malformed:
        return AttemptEndKind::Malformed;
    case LinkEndKind::Closed:
        return AttemptEndKind::Closed;
    }
    return AttemptEndKind::Lost;
}

/// Identifies a target's process. One that restarts at another address gets a new key.
std::string keyOf(const TargetId &target, const std::string &address)
{
    return target.value + "@" + address;
}

/// Returns the number of bytes of a message without its framing.
std::size_t sizeOf(const HttpMessage &message)
{
    constexpr std::size_t fieldFraming = 4; // ": " and the line break
    std::size_t size = message.body.size();
    for (const auto &[name, value] : message.fields) {
        size += name.size() + value.size() + fieldFraming;
    }
    return size;
}

} // namespace

TargetLinks::TargetLinks(EdgeLoop &loop, Sink sink, WriteObserver onWritten, DomainTraffic &traffic,
                         const ReplyLimits &limits)
    : loop(loop), sink(std::move(sink)), onWritten(std::move(onWritten)), traffic(traffic),
      replyBytes(limits.heldBytes), message(limits.message)
{
    this->hooks.onOverBudget = [this] { this->evictHolders(); };
    this->hooks.onReply = [this](ClientLink &link, HttpMessage message) {
        return this->onReply(link, std::move(message));
    };
    this->hooks.onConnected = [this](ClientLink &link) { this->onConnected(link); };
    this->hooks.onEnd = [this](ClientLink &link, LinkEndKind end) { this->onEnd(link, end); };
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
    // All other idle links of this key have been idle for longer.
    link->close(LinkEndKind::Closed);
    return nullptr;
}

ClientLink &TargetLinks::openLink(const std::string &key, const std::string &address, Instant now)
{
    const std::uint64_t id = ++this->lastId;
    Entry &entry = this->links[id];
    entry.link =
            std::make_unique<ClientLink>(this->loop, address, id, this->hooks, this->replyBytes,
                                         this->message, now + this->connectTime.limit());
    entry.key = key;
    entry.openedAt = now;
    ++this->openedCount;
    return *entry.link;
}

void TargetLinks::keepIdle(ClientLink &link, Duration idleTime)
{
    link.idleUntil = monotonicNow() + std::max(idleTime - idleMargin, idleTime / 2);
    this->idle[this->links.at(link.id()).key].push_back(link.id());
}

void TargetLinks::probe(const ProbePath &effect, Instant now)
{
    ClientLink &link = this->openLink(keyOf(effect.target, effect.address), effect.address, now);
    this->links.at(link.id()).probe = effect.number;
    link.idleUntil = Instant::max();
    link.start();
}

void TargetLinks::onConnected(ClientLink &link)
{
    Entry &entry = this->links.at(link.id());
    this->connectTime.onConnected(monotonicNow() - entry.openedAt);
    if (const std::uint64_t probe = std::exchange(entry.probe, 0); probe != 0) {
        this->keepIdle(link, defaultIdleTime);
        this->sink(PathProbed {probe, true});
    }
}

void TargetLinks::startAttempt(const StartAttempt &effect, Instant now)
{
    const std::string key = keyOf(effect.target, effect.address);
    ClientLink *link = this->takeIdle(key, now);
    const bool isNew = link == nullptr;
    if (isNew) {
        link = &this->openLink(key, effect.address, now);
    }
    Entry &entry = this->links.at(link->id());
    entry.attempt = effect.attempt;
    entry.request = effect.request;
    entry.crossesDomains = effect.crossesDomains;
    this->linkByAttempt[effect.attempt] = link->id();
    ++this->sentCount;
    if (isNew) {
        link->start();
    }
    if (!link->hasEnded()) {
        link->send(
                [this, request = effect.request, target = effect.target,
                 deadlineAt = effect.deadlineAt, startedAt = now,
                 crossesDomains = effect.crossesDomains] {
                    const Instant writtenAt = monotonicNow();
                    this->onWritten(target, writtenAt - startedAt);
                    std::string bytes = wire::writeTargetRequest(
                            *request, target.value, std::max(deadlineAt - writtenAt, minTimeLimit));
                    this->traffic.add(TrafficKind::TargetRequests, crossesDomains, bytes.size());
                    return bytes;
                },
                effect.request->method == "HEAD");
    }
}

bool TargetLinks::onReply(ClientLink &link, HttpMessage message)
{
    Entry &entry = this->links.at(link.id());
    this->traffic.add(TrafficKind::TargetReplies, entry.crossesDomains, sizeOf(message));
    const Duration idleTime = wire::readIdleTime(message.fields).value_or(defaultIdleTime);
    auto reply = std::make_shared<ForwardedReply>(
            wire::readTargetReply(std::move(message), entry.request->requestId));
    if (reply->otherRequest) {
        // A late reply to an earlier request arrived instead of the expected one.
        return false;
    }
    const AttemptId attempt = entry.attempt;
    this->linkByAttempt.erase(attempt);
    entry.attempt = AttemptId();
    entry.request.reset();
    if (link.isReusable()) {
        this->keepIdle(link, idleTime);
    }
    this->sink(AttemptReplied {attempt, std::move(reply), std::exchange(entry.isNew, false)});
    return true;
}

void TargetLinks::onEnd(ClientLink &link, LinkEndKind end)
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
        this->linkByAttempt.erase(entry.attempt);
        this->sink(AttemptEnded {entry.attempt, toAttemptEndKind(end)});
    }
    if (entry.probe != 0) {
        this->sink(PathProbed {entry.probe, false});
    }
    this->loop.deleteLater(std::move(entry.link));
}

void TargetLinks::closeAttempt(AttemptId attempt)
{
    if (const auto found = this->linkByAttempt.find(attempt); found != this->linkByAttempt.end()) {
        this->links.at(found->second).link->close(LinkEndKind::Closed);
    }
}

void TargetLinks::evictHolders()
{
    std::vector<ConnectionLoad> loads;
    for (const auto &[id, entry] : this->links) {
        loads.push_back(
                {id, entry.key, entry.link->heldBytes(), ConnectionLoad::Phase::Receiving, {}});
    }
    for (const std::uint64_t id :
         ConnectionEviction::chooseHolders(loads, this->replyBytes.excess())) {
        ++this->evictedCount;
        this->links.at(id).link->close(LinkEndKind::Malformed);
    }
}

void TargetLinks::withdrawUnsent()
{
    std::vector<ClientLink *> unsent;
    for (const auto &[id, entry] : this->links) {
        if (entry.link->isRequestUnsent()) {
            unsent.push_back(entry.link.get());
        }
    }
    for (ClientLink *link : unsent) {
        link->close(LinkEndKind::Unreachable);
    }
}

void TargetLinks::dropIdle()
{
    std::vector<ClientLink *> idleLinks;
    for (const auto &[key, ids] : this->idle) {
        for (const std::uint64_t id : ids) {
            idleLinks.push_back(this->links.at(id).link.get());
        }
    }
    for (ClientLink *link : idleLinks) {
        link->close(LinkEndKind::Closed);
    }
}

void TargetLinks::checkTimeouts(Instant now)
{
    std::vector<ClientLink *> all;
    all.reserve(this->links.size());
    for (const auto &[id, entry] : this->links) {
        all.push_back(entry.link.get());
    }
    for (ClientLink *link : all) {
        link->checkTimeouts(now);
    }
}

} // namespace lagoondeck
