#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace lagoondeck {

/// What one open connection costs this instance, and what its peer does.
struct ConnectionLoad
{
    enum class Phase {
        Idle,      ///< No request was begun and every answer was sent.
        Receiving, ///< A request was begun and is not complete.
        Waiting,   ///< The peer waits for the answer to its request.
        Answering, ///< An answer was not read completely.
    };

    std::uint64_t id = 0;
    /// Identifies the caller: the IP address of the connection's peer.
    std::string peer;
    /// The bytes that the connection holds in memory.
    std::size_t heldBytes = 0;
    Phase phase = Phase::Idle;
    /// How long ago the peer last sent or read something. In the phase Waiting the peer has nothing
    /// to do.
    Duration quietFor {};
};

} // namespace lagoondeck
