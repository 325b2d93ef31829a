#pragma once

namespace lagoondeck {

/// Notes the signals that the process is controlled by for as long as it lives: SIGTERM and SIGINT
/// ask for a graceful stop, SIGHUP for reading the settings again.
class ProcessSignals
{
public:
    ProcessSignals();
    ~ProcessSignals();
    ProcessSignals(const ProcessSignals &) = delete;
    ProcessSignals &operator=(const ProcessSignals &) = delete;

    /// A graceful stop was asked for.
    bool stopAsked() const;
    /// Reading the settings again was asked for since the last call.
    bool takeReload();
};

} // namespace lagoondeck
