#pragma once

#include "core/instance_list.h"
#include "core/time.h"
#include "drivers/platform_session.h"
#include "logic/events.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace lagoondeck {

/// Reads the platform's instance list at an interval on its own thread and gives it to a sink, at
/// first and whenever it changed. A list that can't be read changes nothing.
class InstanceListPoller
{
public:
    using Sink = std::function<void(EventBody)>;

    InstanceListPoller(const std::string &address, Duration interval, Sink sink);
    ~InstanceListPoller();

    InstanceListPoller(const InstanceListPoller &) = delete;
    InstanceListPoller &operator=(const InstanceListPoller &) = delete;

    /// Calls made on the instance list since the start.
    std::uint64_t calls() const { return this->callCount; }

private:
    void run();
    bool waitForNextPoll();
    void poll();
    void noteAvailable(bool available, const std::string &detail);

    PlatformSession session;
    Duration interval;
    Sink sink;
    std::optional<InstanceList> last;
    bool available = true;
    std::atomic<std::uint64_t> callCount = 0;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::thread thread;
};

} // namespace lagoondeck
