#pragma once

namespace lagoondeck {

/// Handles the signals that control the process, for the lifetime of this object: SIGTERM and
/// SIGINT request a graceful stop, SIGHUP requests that the settings are read again.
class ProcessSignals
{
public:
    ProcessSignals();
    ~ProcessSignals();
    ProcessSignals(const ProcessSignals &) = delete;
    ProcessSignals &operator=(const ProcessSignals &) = delete;

    /// Returns whether a graceful stop was requested.
    bool isStopRequested() const;
    /// Returns whether a reload of the settings was requested since the last call.
    bool takeReloadRequest();
};

} // namespace lagoondeck
