#pragma once

#include <mutex>

namespace lagoondeck {

/// Aborts a blocking call on a socket from another thread. It holds a duplicate of the descriptor,
/// so that it can never shut down a socket that was opened later with the same number.
class SocketInterrupter
{
public:
    SocketInterrupter() = default;
    ~SocketInterrupter();

    SocketInterrupter(const SocketInterrupter &) = delete;
    SocketInterrupter &operator=(const SocketInterrupter &) = delete;

    /// Sets the connection to interrupt. Returns false when interrupt() was called before or the
    /// descriptor could not be duplicated.
    bool arm(int descriptor);
    void disarm();
    /// Shuts the armed connection down. Every later arm() fails.
    void interrupt();
    bool isInterrupted() const;

private:
    void closeDescriptorCopy();

    mutable std::mutex mutex;
    int descriptorCopy = -1;
    bool interruptRequested = false;
};

} // namespace lagoondeck
