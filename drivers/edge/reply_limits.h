#pragma once

#include "core/message_limits.h"

#include <cstddef>

namespace lagoondeck {

/// Limits on the replies that the connections to one kind of server receive.
struct ReplyLimits
{
    /// What all incomplete replies together may hold; one reply takes up to 32 MB.
    std::size_t heldBytes = 48 * 1024 * 1024;
    MessageLimits message;
};

} // namespace lagoondeck
