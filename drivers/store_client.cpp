#include "drivers/store_client.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

/// Calls under way at once; the service answers in milliseconds.
constexpr std::size_t workerCount = 4;
/// Operations beyond this wait for nothing: they are told unavailable.
constexpr std::size_t maximumPending = 4096;

} // namespace

/// One open watch with its own connection and thread.
struct StoreClient::Watch
{
    explicit Watch(const std::string &address) : session(address) { }

    StoreSession session;
    std::atomic<bool> silenced = false;
    std::atomic<bool> ended = false;
    std::thread thread;
};

StoreClient::StoreClient(std::string address, Sink sink)
    : address(std::move(address)), sink(std::move(sink))
{
    for (std::size_t i = 0; i < workerCount; ++i) {
        this->sessions.push_back(std::make_unique<StoreSession>(this->address));
    }
    for (auto &session : this->sessions) {
        this->workers.emplace_back([this, &session] { this->work(*session); });
    }
}

StoreClient::~StoreClient()
{
    std::map<StoreOpId, std::unique_ptr<Watch>> open;
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        open.swap(this->watches);
    }
    this->wake.notify_all();
    for (auto &session : this->sessions) {
        session->interrupt();
    }
    for (auto &[operation, watch] : open) {
        watch->silenced = true;
        watch->session.interrupt();
    }
    for (std::thread &worker : this->workers) {
        worker.join();
    }
    for (auto &[operation, watch] : open) {
        watch->thread.join();
    }
}

void StoreClient::execute(const StoreOperation &operation)
{
    this->count(operation.request);
    if (std::holds_alternative<StoreWatch>(operation.request)) {
        this->startWatch(operation);
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        if (this->pending.size() < maximumPending) {
            this->pending.push_back({operation, std::chrono::steady_clock::now()});
            this->wake.notify_one();
            return;
        }
    }
    this->report(operation.operation, StoreStatus::Unavailable, {});
}

void StoreClient::endWatch(StoreOpId operation)
{
    const std::lock_guard lock(this->mutex);
    if (auto found = this->watches.find(operation); found != this->watches.end()) {
        found->second->silenced = true;
        found->second->session.interrupt();
    }
}

StoreCallCounts StoreClient::counts() const
{
    return {this->ranges,     this->transactions, this->leaseGrants,
            this->watchCalls, this->failures,     this->openWatches};
}

void StoreClient::count(const StoreRequest &request)
{
    if (std::holds_alternative<StoreRange>(request)) {
        ++this->ranges;
    } else if (std::holds_alternative<StoreTransaction>(request)) {
        ++this->transactions;
    } else if (std::holds_alternative<StoreLeaseGrant>(request)) {
        ++this->leaseGrants;
    } else {
        ++this->watchCalls;
    }
}

void StoreClient::report(StoreOpId operation, StoreStatus status, StoreReply reply)
{
    if (status != StoreStatus::Ok) {
        ++this->failures;
    }
    this->sink(StoreReplied {operation, status, reply.succeeded, std::move(reply.values),
                             std::move(reply.deletedKeys), reply.lease, reply.storeRevision});
}

void StoreClient::work(StoreSession &session)
{
    while (true) {
        Pending next;
        {
            std::unique_lock lock(this->mutex);
            this->wake.wait(lock, [this] { return this->stopping || !this->pending.empty(); });
            if (this->stopping) {
                return;
            }
            next = std::move(this->pending.front());
            this->pending.pop_front();
        }
        this->run(session, next);
    }
}

/// The time in the queue counts towards the timeout; what waited longer was never sent.
void StoreClient::run(StoreSession &session, const Pending &pending)
{
    const auto waited = std::chrono::steady_clock::now() - pending.queuedAt;
    const StoreOperation &operation = pending.operation;
    const auto left = operation.timeout - std::chrono::duration_cast<Duration>(waited);
    if (left <= Duration(0)) {
        this->report(operation.operation, StoreStatus::Unavailable, {});
        return;
    }
    StoreReply reply;
    const StoreStatus status = leaf::try_handle_all(
            [&]() -> leaf::result<StoreStatus> {
                BOOST_LEAF_ASSIGN(reply, session.call(operation.request, left));
                return StoreStatus::Ok;
            },
            [](const StoreFailure &failure) { return failure.status; },
            [] { return StoreStatus::ReplyLost; });
    this->report(operation.operation, status, std::move(reply));
}

void StoreClient::startWatch(const StoreOperation &operation)
{
    const std::lock_guard lock(this->mutex);
    this->removeEndedWatches();
    if (this->stopping || this->watches.contains(operation.operation)) {
        return;
    }
    auto watch = std::make_unique<Watch>(this->address);
    Watch &running = *watch;
    this->watches.emplace(operation.operation, std::move(watch));
    running.thread =
            std::thread([this, &running, operation] { this->runWatch(running, operation); });
}

void StoreClient::runWatch(Watch &watch, const StoreOperation &operation)
{
    ++this->openWatches;
    const StoreStatus status = leaf::try_handle_all(
            [&]() -> leaf::result<StoreStatus> {
                const auto &request = std::get<StoreWatch>(operation.request);
                BOOST_LEAF_CHECK(
                        watch.session.watch(request, operation.timeout, [&](StoreReply batch) {
                            if (!watch.silenced) {
                                this->report(operation.operation, StoreStatus::Ok,
                                             std::move(batch));
                            }
                        }));
                return StoreStatus::ReplyLost;
            },
            [](const StoreFailure &failure) { return failure.status; },
            [] { return StoreStatus::ReplyLost; });
    --this->openWatches;
    if (!watch.silenced) {
        this->report(operation.operation, status, {});
    }
    watch.ended = true;
}

/// The thread of an ended watch has nothing left to do, so that joining it takes no time.
void StoreClient::removeEndedWatches()
{
    std::erase_if(this->watches, [](auto &item) {
        if (!item.second->ended) {
            return false;
        }
        item.second->thread.join();
        return true;
    });
}

} // namespace lagoondeck
