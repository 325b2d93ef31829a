#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "drivers/edge/client_link.h"
#include "drivers/edge/domain_traffic.h"
#include "drivers/edge/reply_limits.h"
#include "logic/gateway/connect_time.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

/// The connections to targets. Idle connections are reused as long as the target keeps them open.
class TargetLinks
{
public:
    using Sink = std::function<void(GatewayEvent)>;
    /// Called when a request was written, with the time since its attempt was started.
    using WriteObserver = std::function<void(const TargetId &, Duration)>;

    TargetLinks(EdgeLoop &loop, Sink sink, WriteObserver onWritten, DomainTraffic &traffic,
                const ReplyLimits &limits = {});
    ~TargetLinks();

    void startAttempt(const StartAttempt &effect, Instant now);
    /// Closes the connection of an attempt, so that the target drops the request.
    void closeAttempt(AttemptId attempt);
    /// Ends the attempts whose request was not sent yet.
    void withdrawUnsent();
    /// Connects to a target without sending a request. The connection is kept for later requests.
    void probe(const ProbePath &effect, Instant now);
    /// Closes the idle connections.
    void dropIdle();
    void checkTimeouts(Instant now);

    std::uint64_t connectionsOpened() const { return this->openedCount; }
    std::uint64_t requestsSent() const { return this->sentCount; }
    /// Returns how many replies were given up because all together held too many bytes.
    std::uint64_t repliesEvicted() const { return this->evictedCount; }

private:
    /// A connection and the attempt that it carries.
    struct Entry
    {
        std::unique_ptr<ClientLink> link;
        /// Identifies the target's process.
        std::string key;
        AttemptId attempt;
        std::shared_ptr<const ForwardedRequest> request;
        Instant openedAt {};
        bool crossesDomains = false;
        /// Whether no reply has been read on the connection.
        bool isNew = true;
        /// The probe for which the connection is made; 0 if there is none.
        std::uint64_t probe = 0;
    };

    ClientLink &openLink(const std::string &key, const std::string &address, Instant now);
    void keepIdle(ClientLink &link, Duration idleTime);
    void onConnected(ClientLink &link);
    bool onReply(ClientLink &link, HttpMessage message);
    void onEnd(ClientLink &link, LinkEndKind end);
    /// Closes the links that hold most until all together hold less than they may.
    void evictHolders();
    ClientLink *takeIdle(const std::string &key, Instant now);

    EdgeLoop &loop;
    Sink sink;
    WriteObserver onWritten;
    DomainTraffic &traffic;
    ClientLink::Hooks hooks;
    ByteBudget replyBytes;
    MessageLimits message;
    ConnectTime connectTime;
    std::unordered_map<std::uint64_t, Entry> links;
    /// The idle links by key, the most recently used one last.
    std::unordered_map<std::string, std::vector<std::uint64_t>> idle;
    std::unordered_map<AttemptId, std::uint64_t> linkByAttempt;
    std::uint64_t lastId = 0;
    std::uint64_t openedCount = 0;
    std::uint64_t sentCount = 0;
    std::uint64_t evictedCount = 0;
};

} // namespace lagoondeck
