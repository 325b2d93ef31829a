#pragma once

#include <cstddef>

namespace lagoondeck {

/// Limits on the parts of an HTTP message that neither the header's nor the body's length bounds,
/// or that cost more than their bytes. 0 stands for the limit on the header, in bytes or in as many
/// fields as fit into it.
struct MessageLimits
{
    std::size_t requestLineBytes = 0;
    std::size_t headerFields = 0;
    /// The chunk extensions and the trailers of a message, each.
    std::size_t chunkOverheadBytes = 0;
    /// Replies with a status of 100 to 199 before the final one.
    std::size_t interimReplies = 100;
};

} // namespace lagoondeck
