#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "drivers/edge/client_link.h"
#include "drivers/edge/reply_limits.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace lagoondeck {

/// Sends calls to the platform's store. A connection carries one call at a time; idle connections
/// are reused.
class StoreLink
{
public:
    using Sink = std::function<void(GatewayEvent)>;

    StoreLink(EdgeLoop &loop, std::string address, Sink sink, const ReplyLimits &limits = {});
    ~StoreLink();

    void call(const CallStore &effect, Instant now);
    /// Fails the calls that the store has not answered in time, and then closes the idle
    /// connections as well.
    void checkTimeouts(Instant now);
    /// Closes the idle connections.
    void dropIdle();
    /// Returns the number of calls since the start.
    std::uint64_t calls() const { return this->callCount; }

private:
    struct Entry
    {
        std::unique_ptr<ClientLink> link;
        /// Zero while the link is idle.
        StoreOpId operation;
        Instant calledAt {};
        Instant answerDeadline {};
        /// True if the link was kept from an earlier call.
        bool isKept = false;
    };

    bool onReply(ClientLink &link, HttpMessage message);
    void onEnd(ClientLink &link, LinkEndKind end);
    /// Closes the links that hold most until all together hold less than they may.
    void evictHolders();
    void report(const Entry &entry, StoreAnswer answer);

    EdgeLoop &loop;
    std::string address;
    Sink sink;
    ClientLink::Hooks hooks;
    ByteBudget replyBytes;
    MessageLimits message;
    std::unordered_map<std::uint64_t, Entry> links;
    std::uint64_t lastId = 0;
    std::uint64_t callCount = 0;
};

} // namespace lagoondeck
