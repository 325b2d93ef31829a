#pragma once

#include <cstddef>
#include <cstdint>

namespace lagoondeck {

/// The connections of a listener, by what closing them now would cost their peers.
struct ConnectionCounts
{
    std::size_t open = 0;
    /// Their peer waits for an answer that was not sent completely.
    std::size_t unsent = 0;
    /// Their peer sent bytes that were not read.
    std::size_t unread = 0;
    /// Idle connections that were closed while unread bytes waited, since the process started.
    std::uint64_t closedUnread = 0;
};

} // namespace lagoondeck
