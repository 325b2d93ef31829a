#pragma once

#include "core/ids.h"
#include "core/os/log_output.h"
#include "core/time.h"
#include "logic/effects.h"

#include <cstdint>
#include <string>

namespace lagoondeck {

/// One JSON object in a line: time, instance, number and name of the event, and its fields.
std::string formatJsonLine(const WriteLog &log, const InstanceId &instance, WallTime wall);

/// The log of a gateway on its standard output. It never waits, its volume is bounded, and what it
/// drops is counted and told.
class JsonLog
{
public:
    JsonLog(int descriptor, InstanceId instance, std::uint32_t linesPerSecond);

    void write(const WriteLog &log, Instant now, WallTime wall);
    /// Writes what has gathered, now and then or when there is much of it.
    void flush(Instant now, WallTime wall);
    /// Writes all that the reader takes, before the process ends.
    void flushAll() { this->output.flush(); }
    std::uint64_t droppedLines() const;

private:
    bool withinRate(Instant now);

    LogOutput output;
    InstanceId instance;
    std::uint32_t linesPerSecond;
    Instant secondSince {};
    std::uint32_t linesThisSecond = 0;
    std::uint64_t overRate = 0;
    std::uint64_t toldDropped = 0;
    Instant flushedAt {};
    Instant toldAt {};
};

} // namespace lagoondeck
