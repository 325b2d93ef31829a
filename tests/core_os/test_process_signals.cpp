#include "core/os/process_signals.h"

#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>

using namespace lagoondeck;

namespace {

constexpr int expectedExit = 7;

/// Runs a function in a child process that has the default signal handling. Returns the status of
/// waitpid().
template <typename Function>
int waitStatusOf(Function function)
{
    const pid_t child = fork();
    if (child == 0) {
        for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
            std::signal(signal, SIG_DFL);
        }
        function();
        _exit(expectedExit);
    }
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    return status;
}

void exitUnless(bool condition)
{
    if (!condition) {
        _exit(1);
    }
}

bool exitedAsExpected(int status)
{
    return WIFEXITED(status) && WEXITSTATUS(status) == expectedExit;
}

} // namespace

// Guards against signals that interrupt whatever the process is doing when they arrive.
TEST_CASE("signals stay pending until they are received")
{
    CHECK(exitedAsExpected(waitStatusOf([] {
        ProcessSignals signals;
        kill(getpid(), SIGHUP);
        kill(getpid(), SIGTERM);
        exitUnless(!signals.isStopRequested() && !signals.takeReloadRequest());
        signals.receive();
        exitUnless(signals.isStopRequested());
        exitUnless(signals.takeReloadRequest());
        exitUnless(!signals.takeReloadRequest());
    })));
}

// Guards against an event loop that notices a signal only after its timeout.
TEST_CASE("the wake socket is readable when a signal has arrived")
{
    CHECK(exitedAsExpected(waitStatusOf([] {
        ProcessSignals signals;
        const auto isReadable = [&] {
            return signals.wakeSocket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
        };
        exitUnless(!isReadable());
        kill(getpid(), SIGTERM);
        exitUnless(isReadable());
        signals.receive();
        exitUnless(!isReadable());
    })));
}

// Guards against the loss of a signal that was sent to a program before it could receive signals.
TEST_CASE("a signal that was pending before the start is received")
{
    CHECK(exitedAsExpected(waitStatusOf([] {
        sigset_t blocked;
        sigemptyset(&blocked);
        sigaddset(&blocked, SIGTERM);
        sigprocmask(SIG_BLOCK, &blocked, nullptr);
        kill(getpid(), SIGTERM);
        ProcessSignals signals;
        signals.receive();
        exitUnless(signals.isStopRequested());
    })));
}

// Guards against a process that has stopped gracefully but is ended by a second signal while it
// exits, so that it seems to have failed.
TEST_CASE("a signal after the end of ProcessSignals does not end the process")
{
    CHECK(exitedAsExpected(waitStatusOf([] {
        {
            const ProcessSignals signals;
            kill(getpid(), SIGTERM);
        }
        kill(getpid(), SIGTERM);
        kill(getpid(), SIGHUP);
    })));
}
