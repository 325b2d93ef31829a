#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace lagoondeck {

/// How long a log line is worth keeping when nobody reads the log.
enum class LogClass {
    Sample,  ///< An ordinary success.
    State,   ///< What the process believes or does itself.
    Trouble, ///< A request that went wrong.
};

/// Writes lines to a descriptor without ever waiting for its reader. Lines that don't fit into the
/// buffer are dropped, the less important ones first, and counted.
class LogOutput
{
public:
    /// The descriptor stays open and its mode unchanged.
    LogOutput(int descriptor, std::size_t bufferBytes);

    /// Takes a line without its end; false when it is dropped.
    bool write(LogClass kind, std::string line);
    /// Writes what the reader takes now.
    void flush();

    bool pending() const { return !this->lines.empty(); }
    /// Lines dropped since the start, by class.
    const std::array<std::uint64_t, 3> &dropped() const { return this->drops; }
    std::size_t buffered() const { return this->bytes; }

private:
    int descriptor;
    std::size_t bufferBytes;
    std::deque<std::string> lines;
    /// What has been written of the first line.
    std::size_t written = 0;
    std::size_t bytes = 0;
    std::array<std::uint64_t, 3> drops {};
};

} // namespace lagoondeck
