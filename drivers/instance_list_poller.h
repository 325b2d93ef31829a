#pragma once

#include "core/instance_list.h"
#include "core/time.h"
#include "drivers/platform_session.h"
#include "drivers/step_guard.h"
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

/// Polls the platform's instance list on its own thread. Passes the list to a sink after the first
/// successful read and whenever it changes. A failed read keeps the last list in force.
class InstanceListPoller
{
public:
    using Sink = std::function<void(EventBody)>;

    InstanceListPoller(const std::string &address, Duration interval, Sink sink);
    ~InstanceListPoller();

    InstanceListPoller(const InstanceListPoller &) = delete;
    InstanceListPoller &operator=(const InstanceListPoller &) = delete;

    /// Returns the number of reads of the instance list since the start.
    std::uint64_t calls() const { return this->callCount; }
    const StepGuard &stepGuard() const { return this->guard; }

private:
    void run();
    bool waitForNextPoll();
    void poll();
    void setAvailable(bool nowAvailable, const std::string &detail);

    PlatformSession session;
    Duration interval;
    Sink sink;
    StepGuard guard;
    std::optional<InstanceList> lastList;
    bool available = true;
    std::atomic<std::uint64_t> callCount = 0;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::thread thread;
};

} // namespace lagoondeck
