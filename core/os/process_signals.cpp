#include "core/os/process_signals.h"

#include <csignal>

namespace lagoondeck {

namespace {

volatile std::sig_atomic_t stopReceived = 0;
volatile std::sig_atomic_t reloadReceived = 0;

void onStopSignal(int)
{
    stopReceived = 1;
}

void onReloadSignal(int)
{
    reloadReceived = 1;
}

} // namespace

ProcessSignals::ProcessSignals()
{
    stopReceived = 0;
    reloadReceived = 0;
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGHUP, onReloadSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

ProcessSignals::~ProcessSignals()
{
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGINT, SIG_DFL);
    std::signal(SIGHUP, SIG_DFL);
}

bool ProcessSignals::isStopRequested() const
{
    return stopReceived != 0;
}

bool ProcessSignals::takeReloadRequest()
{
    const bool received = reloadReceived != 0;
    reloadReceived = 0;
    return received;
}

} // namespace lagoondeck
