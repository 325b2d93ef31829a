#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace lagoondeck {

/// The importance of a log line, in ascending order. Less important lines are dropped first when
/// the log is not read fast enough.
enum class LogClass {
    Sample,  ///< A sampled success.
    State,   ///< The state of the process and its actions.
    Problem, ///< A request that went wrong.
};

/// Writes lines to a file descriptor without ever waiting for its reader. Lines that don't fit into
/// the buffer are dropped, the less important ones first, and counted.
class LogOutput
{
public:
    /// The descriptor is not closed, and its mode is not changed.
    LogOutput(int descriptor, std::size_t bufferBytes);

    /// Buffers a line, which is given without its line feed. Returns false when it is dropped.
    bool write(LogClass kind, std::string line);
    /// Writes buffered bytes as long as the descriptor accepts them without blocking.
    void flush();

    bool hasPending() const { return !this->lines.empty(); }
    /// Returns the number of lines dropped since the start, by class.
    const std::array<std::uint64_t, 3> &dropped() const { return this->droppedLines; }
    std::size_t buffered() const { return this->bufferedBytes; }

private:
    int descriptor;
    std::size_t bufferBytes;
    std::deque<std::string> lines;
    /// The number of bytes of the first line that have been written.
    std::size_t firstLineWritten = 0;
    std::size_t bufferedBytes = 0;
    std::array<std::uint64_t, 3> droppedLines {};
};

} // namespace lagoondeck
