#pragma once

#include "core/time.h"
#include "logic/effects.h"

#include <atomic>
#include <concepts>
#include <cstdint>
#include <exception>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace lagoondeck {

/// Runs the steps of a thread's work. An exception ends the step that throws it, but neither the
/// thread nor the process; it is counted, and logged at most once a second. May be shared by the
/// threads that do the same work.
class StepGuard
{
public:
    using LogSink = std::function<void(const WriteLog &)>;

    /// The sink is called on the thread that runs the step.
    explicit StepGuard(std::string threadName, LogSink logSink = nullptr);

    /// Runs a step. Returns false if an exception ended it.
    template <std::invocable Step>
    bool run(Step &&step) noexcept
    {
        try {
            step();
            return true;
        } catch (const std::exception &error) {
            this->recordFailure(error.what());
        } catch (...) {
            this->recordFailure("not a standard exception");
        }
        return false;
    }

    /// Runs a step that is repeated for as long as the thread runs. Waits for a moment after a
    /// failure, so that a lasting cause does not take the whole processor.
    template <std::invocable Step>
    void runRepeated(Step &&step) noexcept
    {
        if (!this->run(step)) {
            waitAfterFailure();
        }
    }

    const std::string &name() const { return this->threadName; }
    /// Returns the number of steps that an exception ended.
    std::uint64_t failures() const { return this->failureCount; }

private:
    void recordFailure(std::string_view error) noexcept;
    static void waitAfterFailure() noexcept;

    std::string threadName;
    LogSink logSink;
    std::atomic<std::uint64_t> failureCount = 0;
    std::mutex logMutex;
    std::optional<Instant> lastLogAt;
};

} // namespace lagoondeck
