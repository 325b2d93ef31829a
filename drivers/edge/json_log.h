#pragma once

#include "core/ids.h"
#include "core/os/log_output.h"
#include "core/time.h"
#include "logic/effects.h"

#include <cstdint>
#include <string>

namespace lagoondeck {

/// Returns a log line: a JSON object with the time, the instance, the number and name of the event,
/// and its fields.
std::string formatJsonLine(const WriteLog &log, const InstanceId &instance, WallTime wall);

/// Writes the log of a gateway to a descriptor, usually standard output. Writing never blocks:
/// request lines are rate-limited, the buffer is limited, and dropped lines are counted and
/// reported in the log.
class JsonLog
{
public:
    JsonLog(int descriptor, InstanceId instance, std::uint32_t linesPerSecond);

    void write(const WriteLog &log, Instant now, WallTime wall);
    /// Writes the buffered lines if enough have accumulated or the flush interval has passed.
    void flush(Instant now, WallTime wall);
    /// Writes as many of the buffered lines as the reader accepts. Call before the process ends.
    void flushAll() { this->output.flush(); }
    std::uint64_t droppedLineCount() const;

private:
    /// Counts a line and returns true if it is within the rate limit.
    bool admitLine(Instant now);

    LogOutput output;
    InstanceId instance;
    std::uint32_t linesPerSecond;
    Instant secondStart {};
    std::uint32_t linesThisSecond = 0;
    std::uint64_t droppedOverRate = 0;
    std::uint64_t reportedDropped = 0;
    Instant flushedAt {};
    Instant reportedAt {};
};

} // namespace lagoondeck
