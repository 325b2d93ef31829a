#include "core/os/log_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace lagoondeck {

namespace {

/// The part of the buffer, in quarters, that a class may fill.
constexpr std::array<std::size_t, 3> quarters {2, 3, 4};

/// A descriptor that is ready takes this much without blocking.
constexpr std::size_t safeWrite = PIPE_BUF;

} // namespace

LogOutput::LogOutput(int descriptor, std::size_t bufferBytes)
    : descriptor(descriptor), bufferBytes(bufferBytes)
{ }

bool LogOutput::write(LogClass kind, std::string line)
{
    const auto index = static_cast<std::size_t>(kind);
    line += '\n';
    if (this->bytes + line.size() > this->bufferBytes / 4 * quarters[index]) {
        ++this->drops[index];
        return false;
    }
    this->bytes += line.size();
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
            const std::size_t skip = chunk.empty() ? this->written : 0;
            chunk.append(line, skip, safeWrite - chunk.size());
            if (chunk.size() == safeWrite) {
                break;
            }
        }
        const ssize_t count = ::write(this->descriptor, chunk.data(), chunk.size());
        if (count <= 0) {
            return;
        }
        this->bytes -= static_cast<std::size_t>(count);
        this->written += static_cast<std::size_t>(count);
        while (!this->lines.empty() && this->written >= this->lines.front().size()) {
            this->written -= this->lines.front().size();
            this->lines.pop_front();
        }
    }
}

} // namespace lagoondeck
