#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lagoondeck {

/// An IP number and a port. Names are not taken: a process must find its way with no name service.
struct Address
{
    /// The IP number as written, without brackets.
    std::string host;
    unsigned port = 0;

    /// Every IP number of the machine.
    bool isAny() const;
};

/// Reads "127.0.0.1:9001" or "[::1]:9001"; empty when the text is anything else.
std::optional<Address> parseAddress(std::string_view text);

/// Whether two listening addresses can't both be used on one machine.
bool clash(const Address &left, const Address &right);

} // namespace lagoondeck
