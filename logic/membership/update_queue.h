#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lagoondeck {

/// The members whose record changed recently and is still to be disseminated. Each update is sent a
/// bounded number of times, the least sent first.
class UpdateQueue
{
public:
    /// Adds an update of a member at the front, replacing an older update of the same member.
    void add(const InstanceId &id);
    /// Returns the members whose update goes into the next message, and counts it as sent.
    std::vector<InstanceId> nextUpdates(std::size_t count, std::size_t cellSize);
    bool empty() const { return this->updates.empty(); }

private:
    struct Update
    {
        InstanceId id;
        std::uint32_t sent = 0;
    };

    std::vector<Update> updates;
};

} // namespace lagoondeck
