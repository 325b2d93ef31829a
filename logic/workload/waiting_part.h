#pragma once

#include "logic/gateway/exchange_id.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace lagoondeck {

/// A queued part of an exchange. The exchange may have ended in the meantime.
struct WaitingPart
{
    ExchangeId exchange;
    std::size_t part = 0;

    bool operator==(const WaitingPart &) const = default;
};

/// Whose turn a waiting part takes.
struct WaitingSender
{
    /// How many more urgent priorities there are.
    std::uint32_t urgencyRank = 0;
    /// Empty if the request belongs to no account.
    std::string account;
    /// The host of the caller's connection; empty if it is unknown.
    std::string caller;
};

} // namespace lagoondeck

template <>
struct std::hash<lagoondeck::WaitingPart>
{
    std::size_t operator()(const lagoondeck::WaitingPart &part) const noexcept
    {
        // Exchanges have few parts, and the ids of exchanges are consecutive.
        return std::hash<std::uint64_t>()((part.exchange.value << 8U) ^ part.part);
    }
};
