#pragma once

#include <mutex>

namespace lagoondeck {

/// Ends a blocking call on a socket from another thread. It holds its own descriptor of the
/// connection, so that it can never reach a socket that was opened later with the same number.
class SocketInterrupter
{
public:
    SocketInterrupter() = default;
    ~SocketInterrupter();

    SocketInterrupter(const SocketInterrupter &) = delete;
    SocketInterrupter &operator=(const SocketInterrupter &) = delete;

    /// Says which connection to interrupt. False when interrupt was called before.
    bool arm(int descriptor);
    void disarm();
    /// Shuts the armed connection down; every later arm is refused.
    void interrupt();
    bool interrupted() const;

private:
    void closeCopy();

    mutable std::mutex mutex;
    int copy = -1;
    bool stopped = false;
};

} // namespace lagoondeck
