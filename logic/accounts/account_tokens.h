#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>

namespace lagoondeck {

/// What an instance wants from a holder of an account's cap. A token is the right to serve one
/// request.
struct AccountWish
{
    std::string account;
    /// How many requests the instance wants to serve.
    std::uint32_t count = 0;
    /// Tokens of earlier grants whose requests were not served.
    std::uint32_t returned = 0;
    /// Requests that were served although the receiver refused them a token, because the other
    /// holders granted it.
    std::uint32_t charged = 0;

    bool operator==(const AccountWish &) const = default;
};

/// What a holder of an account's cap grants.
struct AccountTokens
{
    std::string account;
    std::uint32_t granted = 0;
    /// The holder knows no cap of the account.
    bool isUnknown = false;
    /// The time after which the first refused request finds a token.
    Duration retryAfter {};
    /// The time between the return of one refused request and the next one.
    Duration retryInterval {};

    bool operator==(const AccountTokens &) const = default;
};

} // namespace lagoondeck
