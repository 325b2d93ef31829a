#include "drivers/instance_list_poller.h"

#include "core/errors.h"
#include "core/instance_list_codec.h"
#include "drivers/log_writer.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr Duration callTimeout = std::chrono::seconds(2);
constexpr int statusOk = 200;

leaf::result<InstanceList> readList(PlatformSession &session)
{
    const PlatformRequest request {"GET", "/v1/instances", ""};
    BOOST_LEAF_AUTO(reply, session.call(request, callTimeout));
    if (reply.status != statusOk) {
        return leaf::new_error(
                CallFailed {session.address(), "status " + std::to_string(reply.status)});
    }
    return parseInstanceList(reply.body);
}

} // namespace

InstanceListPoller::InstanceListPoller(const std::string &address, Duration interval, Sink sink)
    : session(address), interval(interval), sink(std::move(sink)), guard("instances", writeLog)
{
    this->thread = std::thread([this] { this->run(); });
}

InstanceListPoller::~InstanceListPoller()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    this->session.interrupt();
    this->thread.join();
}

void InstanceListPoller::run()
{
    do {
        this->guard.run([this] { this->poll(); });
    } while (this->waitForNextPoll());
}

/// Waits for one interval. Returns false when the poller stops.
bool InstanceListPoller::waitForNextPoll()
{
    std::unique_lock lock(this->mutex);
    return !this->wake.wait_for(lock, this->interval, [this] { return this->stopping; });
}

void InstanceListPoller::poll()
{
    ++this->callCount;
    std::optional<InstanceList> list;
    leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_ASSIGN(list, readList(this->session));
                this->setAvailable(true, "");
                return {};
            },
            [this](const CallFailed &failure) { this->setAvailable(false, failure.detail); },
            [this](const MalformedInput &input) { this->setAvailable(false, input.detail); },
            [this](const InvalidInput &input) {
                const FieldProblem &first = input.problems.front();
                this->setAvailable(false, first.path + ": " + first.detail);
            },
            [this] { this->setAvailable(false, "unknown error"); });
    if (list && this->lastList != list) {
        this->sink(InstancesListed {*list});
        this->lastList = std::move(list);
    }
}

void InstanceListPoller::setAvailable(bool nowAvailable, const std::string &detail)
{
    if (this->available == nowAvailable) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    this->available = nowAvailable;
    if (this->stopping) {
        return;
    }
    if (nowAvailable) {
        writeLog({LogEvent::InstanceListAvailable, {{"address", this->session.address()}}});
    } else {
        writeLog({LogEvent::InstanceListUnavailable,
                  {{"address", this->session.address()}, {"detail", detail}}});
    }
}

} // namespace lagoondeck
