#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace lagoondeck {

/// How the requests of capped accounts were decided at this instance since its start.
struct AccountDecisions
{
    /// Admitted with tokens of a majority of the holders.
    std::uint64_t granted = 0;
    /// Refused because the cap was reached, or because the local allowance was used up.
    std::uint64_t refused = 0;
    /// Decided without a majority of the holders, admitted or refused.
    std::uint64_t local = 0;

    bool operator==(const AccountDecisions &) const = default;
};

/// By account.
using AccountUsage = std::map<std::string, AccountDecisions>;

} // namespace lagoondeck
