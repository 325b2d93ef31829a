#include "drivers/step_guard.h"

#include "core/os/clock.h"

#include <chrono>
#include <thread>
#include <utility>

namespace lagoondeck {

namespace {

constexpr Duration minLogInterval = std::chrono::seconds(1);
constexpr std::chrono::milliseconds failurePause {10};

} // namespace

StepGuard::StepGuard(std::string threadName, LogSink logSink)
    : threadName(std::move(threadName)), logSink(std::move(logSink))
{ }

void StepGuard::recordFailure(std::string_view error) noexcept
{
    const std::uint64_t failuresSoFar = ++this->failureCount;
    try {
        const std::lock_guard lock(this->logMutex);
        const Instant now = monotonicNow();
        if (!this->logSink || (this->lastLogAt && now - *this->lastLogAt < minLogInterval)) {
            return;
        }
        this->lastLogAt = now;
        this->logSink({LogEvent::StepFailed,
                       {{"thread", this->threadName},
                        {"error", std::string(error)},
                        {"failuresSoFar", std::to_string(failuresSoFar)}}});
    } catch (...) {
        // The failure is counted. Memory may be short, so that it can't be logged.
    }
}

void StepGuard::waitAfterFailure() noexcept
{
    std::this_thread::sleep_for(failurePause);
}

} // namespace lagoondeck
