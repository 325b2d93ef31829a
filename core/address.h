#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lagoondeck {

/// An IP address and a port. Host names are not accepted, so that a process doesn't depend on a
/// name service.
struct Address
{
    /// The IP address as written, without brackets.
    std::string host;
    unsigned port = 0;

    /// Returns whether the address stands for every IP address of the machine.
    bool isAny() const;
};

/// Parses a text like "127.0.0.1:9001" or "[::1]:9001". Returns nothing when the text has another
/// form.
std::optional<Address> parseAddress(std::string_view text);

/// Returns whether two listening addresses can't both be used on one machine.
bool addressesConflict(const Address &left, const Address &right);

} // namespace lagoondeck
