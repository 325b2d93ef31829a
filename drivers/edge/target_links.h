#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "drivers/edge/client_link.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

/// The connections to targets, kept for later requests while their target keeps them.
class TargetLinks
{
public:
    using Sink = std::function<void(GatewayEvent)>;

    TargetLinks(EdgeLoop &loop, Sink sink);
    ~TargetLinks();

    void start(const StartAttempt &effect, Instant now);
    void closeAttempt(AttemptId attempt);
    void dropIdle();
    void checkTime(Instant now);

    std::uint64_t opened() const { return this->openedCount; }
    std::uint64_t sent() const { return this->sentCount; }

private:
    /// A link and what it carries.
    struct Entry
    {
        std::unique_ptr<ClientLink> link;
        /// Target and address; a process that begins anew at another address is another.
        std::string key;
        AttemptId attempt;
        std::shared_ptr<const ForwardedRequest> request;
    };

    bool onReply(ClientLink &link, HttpMessage message);
    void onEnd(ClientLink &link, LinkEnd end);
    ClientLink *takeIdle(const std::string &key, Instant now);

    EdgeLoop &loop;
    Sink sink;
    ClientLink::Hooks hooks;
    std::unordered_map<std::uint64_t, Entry> links;
    /// Idle links of a target, the one that was used last at the end.
    std::unordered_map<std::string, std::vector<std::uint64_t>> idle;
    std::unordered_map<AttemptId, std::uint64_t> carriers;
    std::uint64_t lastId = 0;
    std::uint64_t openedCount = 0;
    std::uint64_t sentCount = 0;
};

} // namespace lagoondeck
