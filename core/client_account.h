#pragma once

#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

/// A customer whose callers prove with keys that they belong to it.
struct ClientAccount
{
    /// Targets get this name with each request of the account.
    std::string name;
    /// Secrets. They must not be logged, or sent to targets or members.
    std::vector<std::string> keys;
    /// Replaces the priority of the routes; 0 is the highest priority.
    std::optional<std::uint32_t> priority;
    /// The requests per second that the whole fleet serves for the account; 0 if there is no cap.
    double requestsPerSecond = 0.0;
    /// How many requests may come at once beyond the rate.
    double burst = 0.0;
    /// The regions whose targets may serve the account's requests. Empty if all may.
    std::vector<Region> allowedRegions;

    bool isCapped() const { return this->requestsPerSecond > 0.0; }
};

} // namespace lagoondeck
