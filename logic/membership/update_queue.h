#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lagoondeck {

/// The members whose news is still to be passed on. Each piece of news goes out a bounded number of
/// times, the least told first.
class UpdateQueue
{
public:
    /// Puts news of a member first; older news of it is replaced.
    void add(const InstanceId &id);
    /// The members whose news goes into the next message.
    std::vector<InstanceId> take(std::size_t count, std::size_t cellSize);
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
