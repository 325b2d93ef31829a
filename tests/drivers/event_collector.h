#pragma once

#include "logic/events.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

namespace lagoondeck {

/// Collects the events that a driver passes to its sink from its own threads.
class EventCollector
{
public:
    void add(EventBody event)
    {
        const std::lock_guard lock(this->mutex);
        this->events.push_back(std::move(event));
        this->eventArrived.notify_all();
    }

    /// Waits for the event with this index. Returns nothing when it does not arrive in 20 s.
    std::optional<EventBody> waitForEvent(std::size_t index)
    {
        std::unique_lock lock(this->mutex);
        const bool arrivedInTime = this->eventArrived.wait_for(
                lock, std::chrono::seconds(20), [&] { return this->events.size() > index; });
        return arrivedInTime ? std::optional(this->events[index]) : std::nullopt;
    }

    /// Waits for the store's reply with this index. Returns a default one when it does not arrive.
    StoreReplied waitForStoreReply(std::size_t index)
    {
        auto event = this->waitForEvent(index);
        return event ? std::get<StoreReplied>(*event) : StoreReplied {};
    }

    std::size_t size()
    {
        const std::lock_guard lock(this->mutex);
        return this->events.size();
    }

private:
    std::mutex mutex;
    std::condition_variable eventArrived;
    std::vector<EventBody> events;
};

} // namespace lagoondeck
