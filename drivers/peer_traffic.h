#pragma once

#include "core/time.h"

#include <cstdint>

namespace lagoondeck {

/// Counters of the peer messages of this process since the start. Bytes are counted without the
/// framing of the transport.
struct PeerTraffic
{
    std::uint64_t messagesIn = 0;
    std::uint64_t messagesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    /// Malformed messages that were dropped.
    std::uint64_t refused = 0;
    /// Messages that were not sent because the peer could not be reached or a queue was full.
    std::uint64_t dropped = 0;
    /// CPU time of the thread that owns the sockets.
    Duration processorTime {};
};

} // namespace lagoondeck
