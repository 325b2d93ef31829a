#include "logic/membership/update_queue.h"

#include <algorithm>
#include <bit>

namespace lagoondeck {

namespace {

/// Each update is sent this many times the binary logarithm of the cell's size.
constexpr std::uint32_t retransmitFactor = 3;

} // namespace

void UpdateQueue::add(const InstanceId &id)
{
    std::erase_if(this->updates, [&](const Update &update) { return update.id == id; });
    this->updates.insert(this->updates.begin(), Update {id, 0});
}

std::vector<InstanceId> UpdateQueue::nextUpdates(std::size_t count, std::size_t cellSize)
{
    std::ranges::stable_sort(this->updates, {}, &Update::sent);
    std::vector<InstanceId> selected;
    for (std::size_t i = 0; i < std::min(count, this->updates.size()); ++i) {
        this->updates[i].sent += 1;
        selected.push_back(this->updates[i].id);
    }
    const auto maxSent = retransmitFactor * static_cast<std::uint32_t>(std::bit_width(cellSize));
    std::erase_if(this->updates,
                  [maxSent](const Update &update) { return update.sent >= maxSent; });
    return selected;
}

} // namespace lagoondeck
