#pragma once

#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

/// Requests parts of targets' limits from the members that hold them.
///
/// All that is requested from a member while one event is handled goes out in a single message.
/// Requests do not block: a reply that never arrives has no effect, and each reply counts once.
class LimitLoans
{
public:
    /// Adds one request at a target to the next message to the holder with the given peer address.
    /// `perSecond` is the limit of the whole fleet.
    void add(const std::string &holder, const TargetId &target, double perSecond);
    void sendRequests(GatewayContext &context);
    /// Returns how long ago the request was sent to which the reply belongs; nothing unless it is
    /// unanswered. Forgets the request.
    std::optional<Duration> takeAnswered(std::uint64_t number, Instant now);

private:
    std::map<std::string, std::vector<LimitWish>> pending;
    /// The numbers of unanswered requests and when they were sent; the oldest ones are dropped.
    std::map<std::uint64_t, Instant> openRequests;
    std::uint64_t lastNumber = 0;
};

} // namespace lagoondeck
