#pragma once

#include <string>

namespace lagoondeck {

/// The cell's secret is not a Z85 secret key of 40 characters.
struct PeerKeyMalformed
{
    std::size_t length = 0;
};

/// The address for peer messages could not be bound.
struct PeerBindFailed
{
    std::string address;
    int systemError = 0;
};

} // namespace lagoondeck
