#pragma once

#include "core/http_message.h"
#include "core/ids.h"
#include "core/routing_config.h"
#include "core/time.h"
#include "logic/gateway/exchange_id.h"
#include "logic/placement/region_rule.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

/// The member that delegated a request to this instance.
struct DelegationOrigin
{
    InstanceId member;
    /// The member's peer address.
    std::string address;
    /// The member's number for the request.
    std::uint64_t number = 0;
};

/// A request that is allowed by the configuration and ready to be served.
struct AdmittedRequest
{

    ExchangeId id;
    std::shared_ptr<const ForwardedRequest> request;
    /// The configuration that was in force when the request arrived.
    RoutingConfigPtr config;
    const Route *route = nullptr;
    /// The caller's account in the configuration, or null if it has none.
    const ClientAccount *account = nullptr;
    /// The host from which the caller is connected; empty if it is unknown.
    std::string caller;
    /// How many more urgent priorities have routes to the same groups.
    std::uint32_t urgencyRank = 0;
    Instant arrivedAt {};
    /// When the answer should be sent to reach the caller within the route's latency objective,
    /// with a margin for this instance's own delays.
    Instant objectiveAt {};
    /// An answer that is sent after this misses the route's latency objective.
    Instant lateAt {};
    /// When the caller stops waiting.
    Instant deadlineAt {};
    /// How old the latest data from the store was when the request arrived.
    Duration storeDataAge {};
    /// Empty if the request came from a caller.
    std::optional<DelegationOrigin> origin;
    /// Whether the other members were asked for help and none of them took the request.
    bool isDeclined = false;
    /// Whether the deadline is the end of this instance instead of the caller's own.
    bool isCutShort = false;

    /// Returns in which regions the request may be served.
    RegionRule regionRule() const { return {*this->route, this->account}; }
    /// Moves the deadline forward because this instance ends then.
    void endBy(Instant at)
    {
        if (at < this->deadlineAt) {
            this->deadlineAt = at;
            this->objectiveAt = std::min(this->objectiveAt, at);
            this->isCutShort = true;
        }
    }
};

} // namespace lagoondeck
