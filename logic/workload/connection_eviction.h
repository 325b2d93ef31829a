#pragma once

#include "logic/workload/connection_load.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lagoondeck {

/// Chooses the connections that are closed when all of an instance's connections together hold too
/// much.
class ConnectionEviction
{
public:
    /// Returns connections that hold at least the excess together, or all that hold anything. Those
    /// that hold most and whose peers have been quiet for longest come first.
    ///
    /// What a connection holds and what its caller holds on all connections count alike, so that a
    /// caller gains nothing by spreading its bytes over many connections.
    ///
    /// Connections whose requests wait for their answers come last, because targets already run
    /// these, unless all of them together hold more than half. Otherwise callers could fill the
    /// memory with such requests and keep everyone else out.
    static std::vector<std::uint64_t> chooseHolders(const std::vector<ConnectionLoad> &loads,
                                                    std::size_t excessBytes);

    /// Returns up to `count` connections that make room for new ones: idle ones first, then those
    /// with an incomplete request, then those with an answer that is not read. Among these, the
    /// ones of callers with many connections and those that have been quiet for longest come first.
    /// A connection whose request waits for its answer is never chosen.
    static std::vector<std::uint64_t> chooseReplaceable(const std::vector<ConnectionLoad> &loads,
                                                        std::size_t count);
};

} // namespace lagoondeck
