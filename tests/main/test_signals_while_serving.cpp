#include "serving_daemon.h"

#include <array>
#include <csignal>

using namespace lagoondeck;

namespace {

constexpr std::array controlSignals {SIGHUP, SIGINT, SIGTERM};
/// The stop takes a few seconds; more only shows that it failed.
constexpr std::chrono::milliseconds stopLimit = 30s;

void checkThatThreadsBlockSignals(const ProcessThreads &threads, std::size_t minThreads)
{
    const std::vector<pid_t> ids = threads.ids();
    REQUIRE(ids.size() >= minThreads);
    for (const pid_t thread : ids) {
        for (const int signal : controlSignals) {
            INFO("thread " << thread << " signal " << signal);
            CHECK(threads.blocksSignal(thread, signal));
        }
    }
}

void signalEachThreadRepeatedly(const ProcessThreads &threads)
{
    for (int round = 0; round < 20; ++round) {
        threads.signalEach(SIGHUP);
        std::this_thread::sleep_for(5ms);
    }
}

/// Waits until the process has ended. Returns nothing if it does not.
std::optional<ProcessEnd> waitForEnd(DaemonProcess &process)
{
    const auto until = std::chrono::steady_clock::now() + stopLimit;
    while (!process.poll() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(5ms);
    }
    return process.poll();
}

void checkGracefulEnd(DaemonProcess &process)
{
    const auto end = waitForEnd(process);
    REQUIRE(end);
    CHECK(end->exitCode == 0);
}

bool isHealthy(const std::string &address)
{
    try {
        TestClient client(address);
        return client.call("GET", "/v1/health").status() == 200;
    } catch (const Poco::Exception &) {
        return false;
    }
}

} // namespace

// Guards against a signal that is handled on a thread whose calls it interrupts: ZeroMQ's poll
// threw an exception there, which ended the process and lost all requests in flight.
TEST_CASE("no thread of a daemon that serves can be interrupted by a control signal")
{
    ServingDaemon daemon(0ms);
    REQUIRE(daemon.call("o1") == 200);
    // The event loop, the thread of the peer messages and two of ZeroMQ.
    checkThatThreadsBlockSignals(daemon.threads(), 4);
}

// Guards against the loss of requests in flight, whichever thread the kernel gives a signal to.
TEST_CASE("a reload signal at any thread leaves the requests in flight alone")
{
    ServingDaemon daemon(600ms);
    int status = 0;
    std::thread caller = daemon.startCall("o1", status);
    signalEachThreadRepeatedly(daemon.threads());
    caller.join();
    CHECK(status == 200);
    CHECK_FALSE(daemon.process->poll());
    daemon.process->signal(SIGTERM);
    checkGracefulEnd(*daemon.process);
}

// Guards against signals that are lost, or that end the process, when they arrive while the process
// is stopped. It receives all of them at once when it continues.
TEST_CASE("signals that arrive while the process is stopped are received when it continues")
{
    ServingDaemon daemon(600ms);
    int status = 0;
    std::thread caller = daemon.startCall("o1", status);
    daemon.process->signal(SIGSTOP);
    std::this_thread::sleep_for(50ms);
    // Each thread may be the first to run again and to be given the signal.
    daemon.threads().signalEach(SIGHUP);
    daemon.process->signal(SIGHUP);
    daemon.process->signal(SIGTERM);
    daemon.process->signal(SIGCONT);
    caller.join();
    CHECK(status == 200);
    checkGracefulEnd(*daemon.process);
    CHECK(daemon.log().find("SettingsReloaded") != std::string::npos);
}

// Guards against further signals that cut a graceful stop short or change how the process ends.
TEST_CASE("signals in series during a reload and a stop do not change how the process ends")
{
    ServingDaemon daemon(600ms);
    int status = 0;
    std::thread caller = daemon.startCall("o1", status);
    for (int round = 0; round < 20; ++round) {
        daemon.process->signal(SIGHUP);
        std::this_thread::sleep_for(1ms);
    }
    const auto until = std::chrono::steady_clock::now() + stopLimit;
    while (!daemon.process->poll() && std::chrono::steady_clock::now() < until) {
        for (const int signal : controlSignals) {
            daemon.process->signal(signal);
        }
        std::this_thread::sleep_for(100us);
    }
    caller.join();
    CHECK(status == 200);
    checkGracefulEnd(*daemon.process);
}

// Guards against the same failures with the own JSON interface, which has more threads.
TEST_CASE("control signals interrupt no thread of a daemon with the own JSON interface")
{
    const std::vector<std::string> addresses = freeAddresses(4);
    nlohmann::json settings {{"id", "n1"}, {"failureDomain", "a"}, {"stopBoundMs", 2000}};
    settings["httpAddress"] = addresses[0];
    settings["peerAddress"] = addresses[1];
    // Nobody listens there; the calls fail and are repeated.
    settings["storeAddress"] = addresses[2];
    settings["instanceListAddress"] = addresses[3];
    const TemporaryFolder folder;
    const std::filesystem::path file = folder.path / "settings.json";
    std::ofstream(file) << settings.dump();
    DaemonProcess process({LAGOONDECK_DAEMON, "--settings", file.string()},
                          (folder.path / "log").string());
    const auto until = std::chrono::steady_clock::now() + 30s;
    while (!isHealthy(addresses[0]) && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(10ms);
    }
    REQUIRE(isHealthy(addresses[0]));
    const ProcessThreads threads(process.id());
    // Besides those of a gateway, the workers of the store and the thread of the instance list.
    checkThatThreadsBlockSignals(threads, 9);
    signalEachThreadRepeatedly(threads);
    process.signal(SIGSTOP);
    threads.signalEach(SIGHUP);
    process.signal(SIGHUP);
    process.signal(SIGCONT);
    CHECK(isHealthy(addresses[0]));
    process.signal(SIGTERM);
    checkGracefulEnd(process);
}
