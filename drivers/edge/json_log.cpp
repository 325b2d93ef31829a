#include "drivers/edge/json_log.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <nlohmann/json.hpp>
#include <numeric>
#include <utility>

namespace lagoondeck {

namespace {

/// Lines that don't fit into the buffer are dropped.
constexpr std::size_t bufferBytes = 256 * 1024;
/// Lines are written in batches to save system calls.
constexpr Duration flushInterval = std::chrono::milliseconds(200);
constexpr std::size_t flushBytes = 4096;
constexpr Duration reportInterval = std::chrono::seconds(5);

LogClass classOf(LogEvent event)
{
    if (event == LogEvent::RequestServed) {
        return LogClass::Sample;
    }
    return event == LogEvent::RequestTroubled ? LogClass::Problem : LogClass::State;
}

std::string quoted(const std::string &text)
{
    return nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string formatJsonLine(const WriteLog &log, const InstanceId &instance, WallTime wall)
{
    const Poco::Timestamp time(wall.time_since_epoch().count());
    const LogEventInfo &info = logEventInfo(log.event);
    std::string line = "{\"time\":\""
            + Poco::DateTimeFormatter::format(time, "%Y-%m-%dT%H:%M:%S.%iZ") + "\",\"instance\":"
            + quoted(instance.value) + ",\"event\":" + std::to_string(static_cast<int>(log.event))
            + ",\"name\":\"" + std::string(info.name) + "\"";
    for (const LogField &field : log.fields) {
        line += "," + quoted(field.name) + ":"
                + (field.isNumber ? field.value : quoted(field.value));
    }
    return line + "}";
}

JsonLog::JsonLog(int descriptor, InstanceId instance, std::uint32_t linesPerSecond)
    : output(descriptor, bufferBytes), instance(std::move(instance)), linesPerSecond(linesPerSecond)
{ }

bool JsonLog::admitLine(Instant now)
{
    if (now - this->secondStart >= std::chrono::seconds(1)) {
        this->secondStart = now;
        this->linesThisSecond = 0;
    }
    return ++this->linesThisSecond <= this->linesPerSecond;
}

void JsonLog::write(const WriteLog &log, Instant now, WallTime wall)
{
    const LogClass kind = classOf(log.event);
    if (kind != LogClass::State && !this->admitLine(now)) {
        ++this->droppedOverRate;
        return;
    }
    this->output.write(kind, formatJsonLine(log, this->instance, wall));
}

std::uint64_t JsonLog::droppedLineCount() const
{
    const auto &drops = this->output.dropped();
    return std::accumulate(drops.begin(), drops.end(), this->droppedOverRate);
}

void JsonLog::flush(Instant now, WallTime wall)
{
    if (const std::uint64_t dropped = this->droppedLineCount();
        dropped > this->reportedDropped && now - this->reportedAt > reportInterval) {
        this->reportedAt = now;
        this->write({LogEvent::LogLinesDropped,
                     {numberField("lines",
                                  static_cast<std::int64_t>(dropped - this->reportedDropped))}},
                    now, wall);
        this->reportedDropped = dropped;
    }
    if (this->output.hasPending()
        && (this->output.buffered() >= flushBytes || now - this->flushedAt >= flushInterval)) {
        this->flushedAt = now;
        this->output.flush();
    }
}

} // namespace lagoondeck
