#include "core/os/log_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace lagoondeck {

namespace {

/// For each class, how many quarters of the buffer must be full before its lines are dropped.
constexpr std::array<std::size_t, 3> maxFillQuarters {2, 3, 4};

/// A pipe that poll() reports as writable accepts this number of bytes without blocking.
constexpr std::size_t maxWriteBytes = PIPE_BUF;

} // namespace

LogOutput::LogOutput(int descriptor, std::size_t bufferBytes)
    : descriptor(descriptor), bufferBytes(bufferBytes)
{ }

bool LogOutput::write(LogClass kind, std::string line)
{
    const auto index = static_cast<std::size_t>(kind);
    line += '\n';
    if (this->bufferedBytes + line.size() > this->bufferBytes / 4 * maxFillQuarters[index]) {
        ++this->droppedLines[index];
        return false;
    }
    this->bufferedBytes += line.size();
    this->lines.push_back(std::move(line));
    return true;
}

void LogOutput::flush()
{
    while (!this->lines.empty()) {
        pollfd ready {this->descriptor, POLLOUT, 0};
        if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            return;
        }
        std::string chunk;
        for (const std::string &line : this->lines) {
            const std::size_t skip = chunk.empty() ? this->firstLineWritten : 0;
            chunk.append(line, skip, maxWriteBytes - chunk.size());
            if (chunk.size() == maxWriteBytes) {
                break;
            }
        }
        const ssize_t count = ::write(this->descriptor, chunk.data(), chunk.size());
        if (count <= 0) {
            return;
        }
        this->bufferedBytes -= static_cast<std::size_t>(count);
        this->firstLineWritten += static_cast<std::size_t>(count);
        while (!this->lines.empty() && this->firstLineWritten >= this->lines.front().size()) {
            this->firstLineWritten -= this->lines.front().size();
            this->lines.pop_front();
        }
    }
}

} // namespace lagoondeck
