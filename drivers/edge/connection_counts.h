#pragma once

#include <cstddef>

namespace lagoondeck {

/// The connections of a listener, by what closing them now would cost their peers.
struct ConnectionCounts
{
    std::size_t open = 0;
    /// Their peer waits for an answer that was not sent completely.
    std::size_t unsent = 0;
    /// Their peer sent bytes that were not read.
    std::size_t unread = 0;
};

} // namespace lagoondeck
