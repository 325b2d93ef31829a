#pragma once

#include "logic/events.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

namespace lagoondeck {

/// Collects the events that a driver gives from its threads.
class EventCollector
{
public:
    void add(EventBody event)
    {
        const std::lock_guard lock(this->mutex);
        this->events.push_back(std::move(event));
        this->arrived.notify_all();
    }

    /// Waits for the event with this index; empty when none came in the long bound.
    std::optional<EventBody> at(std::size_t index)
    {
        std::unique_lock lock(this->mutex);
        const bool came = this->arrived.wait_for(lock, std::chrono::seconds(20),
                                                 [&] { return this->events.size() > index; });
        return came ? std::optional(this->events[index]) : std::nullopt;
    }

    /// The store's reply with this index; a default one when none came.
    StoreReplied storeReply(std::size_t index)
    {
        auto event = this->at(index);
        return event ? std::get<StoreReplied>(*event) : StoreReplied {};
    }

    std::size_t size()
    {
        const std::lock_guard lock(this->mutex);
        return this->events.size();
    }

private:
    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<EventBody> events;
};

} // namespace lagoondeck
