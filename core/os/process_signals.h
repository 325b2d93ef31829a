#pragma once

#include <Poco/Net/Socket.h>

namespace lagoondeck {

/// Receives the signals that control the process: SIGTERM and SIGINT request a graceful stop,
/// SIGHUP requests that the settings are read again. The signals are blocked, so that they
/// interrupt no call of any thread, and stay pending until receive() reads them. Must be created
/// before other threads, which inherit the blocked signals. They stay blocked after the end of this
/// object, because a signal during the exit must not change how the process ends.
class ProcessSignals
{
public:
    ProcessSignals();
    /// Discards the pending signals.
    ~ProcessSignals();
    ProcessSignals(const ProcessSignals &) = delete;
    ProcessSignals &operator=(const ProcessSignals &) = delete;

    /// Becomes readable when a signal has arrived.
    const Poco::Net::Socket &wakeSocket() const { return this->socket; }
    /// Reads the signals that have arrived.
    void receive();
    /// Returns whether a graceful stop was requested.
    bool isStopRequested() const { return this->stopRequested; }
    /// Returns whether a reload of the settings was requested since the last call.
    bool takeReloadRequest();

private:
    Poco::Net::Socket socket;
    bool stopRequested = false;
    bool reloadRequested = false;
};

} // namespace lagoondeck
