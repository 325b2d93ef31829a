#pragma once

#include "core/time.h"

#include <cstdint>

namespace lagoondeck {

/// What the peer messages of one process cost so far. Bytes are those of the messages, without the
/// framing of the transport.
struct PeerTraffic
{
    std::uint64_t messagesIn = 0;
    std::uint64_t messagesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    /// Malformed messages that were dropped.
    std::uint64_t refused = 0;
    /// Messages that were not sent: the peer could not be reached, or its queue was full.
    std::uint64_t dropped = 0;
    /// Processor time of the thread that owns the sockets.
    Duration processorTime {};
};

} // namespace lagoondeck
