// What callers see of a daemon that is asked to stop and goes on getting requests until it ends.

#include "gateway_node_fixture.h"
#include "raw_caller.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace lagoondeck;
using namespace lagoondeck::edgetest;

namespace {

/// Callers that go on sending until they are stopped.
class CallerLoad
{
public:
    explicit CallerLoad(GatewayFixture &fixture) : address(fixture.settings.callerAddress) { }
    ~CallerLoad() { this->finish(); }

    /// Sends each request on a new connection, one in each interval.
    void startOnNewConnections(const std::string &path, Duration interval)
    {
        this->threads.emplace_back([this, path, interval] {
            std::vector<std::thread> callers;
            for (auto next = std::chrono::steady_clock::now(); !this->ending; next += interval) {
                std::this_thread::sleep_until(next);
                callers.emplace_back([this, path] {
                    RawCaller caller(this->address);
                    if (caller.isConnected()) {
                        this->add(caller.call(path, this->nextId()));
                    }
                });
            }
            for (std::thread &caller : callers) {
                caller.join();
            }
        });
    }

    /// Waits for all answers and returns what the callers saw.
    const std::vector<CallerView> &finish()
    {
        this->ending = true;
        for (std::thread &thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
        return this->views;
    }

private:
    std::string nextId() { return "load-" + std::to_string(++this->lastId); }

    void add(CallerView view)
    {
        const std::scoped_lock lock(this->mutex);
        this->views.push_back(std::move(view));
    }

    std::string address;
    std::atomic<bool> ending = false;
    std::atomic<std::uint64_t> lastId = 0;
    std::mutex mutex;
    std::vector<CallerView> views;
    std::vector<std::thread> threads;
};

/// Returns how many connections were closed without an answer while others were still answered.
std::size_t countClosedBetween(const std::vector<CallerView> &views)
{
    std::chrono::steady_clock::time_point lastAnswerAt;
    for (const CallerView &view : views) {
        lastAnswerAt = view.status != 0 ? std::max(lastAnswerAt, view.endedAt) : lastAnswerAt;
    }
    return static_cast<std::size_t>(std::ranges::count_if(views, [&](const CallerView &view) {
        return view.status == 0 && view.endedAt < lastAnswerAt;
    }));
}

/// Returns how many requests ran at a target without an answer to their caller.
std::size_t countLost(const GatewayFixture &fixture, const std::vector<CallerView> &views)
{
    std::size_t lost = 0;
    for (const CallerView &view : views) {
        lost += view.sent && view.status == 0 && fixture.hasRun(view.id) ? 1 : 0;
    }
    return lost;
}

} // namespace

// Guards against requests that come late in the grace period, are passed on and are cut off when
// the process ends.
TEST_CASE("steady load: a stopping daemon answers every request that it passes on")
{
    GatewayFixture fixture;
    for (const auto &target : fixture.targets) {
        target->setDelay(160ms);
    }
    CallerLoad load(fixture);
    load.startOnNewConnections("/one/x", 40ms);
    load.startOnNewConnections("/once/x", 40ms);
    std::this_thread::sleep_for(500ms);
    fixture.stop();
    const std::vector<CallerView> &views = load.finish();
    CHECK(fixture.runSucceeded);
    CHECK(countLost(fixture, views) == 0);
    const auto countStatus = [&](int status) {
        return std::ranges::count(views, status, &CallerView::status);
    };
    // Callers are served while there is time, and then refused.
    CHECK(countStatus(200) > static_cast<std::ptrdiff_t>(views.size() / 2));
    CHECK(countStatus(503) > 0);
}

// Guards against a check for idle connections that closes the one that has just been accepted.
TEST_CASE("steady load: a stopping daemon closes no new connection before its request is read")
{
    GatewayFixture fixture;
    for (const auto &target : fixture.targets) {
        target->setDelay(160ms);
    }
    CallerLoad load(fixture);
    for (int i = 0; i < 4; ++i) {
        load.startOnNewConnections("/one/x", 80ms);
    }
    std::this_thread::sleep_for(500ms);
    fixture.stop();
    CHECK(countClosedBetween(load.finish()) == 0);
}

TEST_CASE("the first request of a connection is read although it comes late in a stop")
{
    GatewayFixture fixture;
    fixture.sendSignal(SIGTERM);
    std::this_thread::sleep_for(2500ms);
    RawCaller caller(fixture.settings.callerAddress);
    REQUIRE(caller.isConnected());
    std::this_thread::sleep_for(400ms);
    CHECK(caller.call("/one/x", "late").status == 200);
}

// Guards against answers that wait in the daemon's output and are cut off with their connection.
TEST_CASE("slow readers: long answers are sent completely although the daemon stops meanwhile")
{
    // 16 MiB, more than the operating system buffers.
    GatewayFixture fixture("", 1024 * 1024);
    for (const auto &target : fixture.targets) {
        target->setDelay(150ms);
    }
    std::vector<CallerView> views(2);
    std::thread before([&] {
        RawCaller caller(fixture.settings.callerAddress, true);
        views[0] = caller.call("/one/x", "before");
    });
    std::this_thread::sleep_for(400ms);
    std::thread during([&] {
        RawCaller caller(fixture.settings.callerAddress, true);
        views[1] = caller.call("/one/x", "during");
    });
    std::this_thread::sleep_for(50ms);
    fixture.sendSignal(SIGTERM);
    before.join();
    during.join();
    for (const CallerView &view : views) {
        CHECK(view.status == 200);
    }
}
