#include "drivers/store_client.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

/// Limits concurrent calls; a few suffice, as the service answers within milliseconds.
constexpr std::size_t workerCount = 4;
/// Operations beyond this limit are not queued: they are reported as Unavailable at once.
constexpr std::size_t maximumPending = 4096;

} // namespace

/// An open watch with its own connection and thread.
struct StoreClient::Watch
{
    explicit Watch(const std::string &address) : session(address) { }

    StoreSession session;
    std::atomic<bool> cancelled = false;
    std::atomic<bool> ended = false;
    std::thread thread;
};

StoreClient::StoreClient(std::string address, Sink sink, StepGuard::LogSink logSink)
    : address(std::move(address)), sink(std::move(sink)), guard("store", std::move(logSink))
{
    for (std::size_t i = 0; i < workerCount; ++i) {
        this->sessions.push_back(std::make_unique<StoreSession>(this->address));
    }
    for (auto &session : this->sessions) {
        this->workers.emplace_back([this, &session] { this->runWorker(*session); });
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
        watch->cancelled = true;
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
    this->countCall(operation.request);
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
        found->second->cancelled = true;
        found->second->session.interrupt();
    }
}

StoreCallCounts StoreClient::counts() const
{
    return {this->ranges,     this->transactions, this->leaseGrants,
            this->watchCalls, this->failures,     this->openWatches};
}

void StoreClient::countCall(const StoreRequest &request)
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

void StoreClient::runWorker(StoreSession &session)
{
    while (true) {
        PendingOperation next;
        {
            std::unique_lock lock(this->mutex);
            this->wake.wait(lock, [this] { return this->stopping || !this->pending.empty(); });
            if (this->stopping) {
                return;
            }
            next = std::move(this->pending.front());
            this->pending.pop_front();
        }
        this->guard.run([&] { this->runOperation(session, next); });
    }
}

/// The time in the queue counts towards the timeout. An operation that was queued for longer has
/// never been sent, so it is reported as Unavailable.
void StoreClient::runOperation(StoreSession &session, const PendingOperation &pending)
{
    const auto waited = std::chrono::steady_clock::now() - pending.queuedAt;
    const StoreOperation &operation = pending.operation;
    const auto remaining = operation.timeout - std::chrono::duration_cast<Duration>(waited);
    if (remaining <= Duration(0)) {
        this->report(operation.operation, StoreStatus::Unavailable, {});
        return;
    }
    StoreReply reply;
    const StoreStatus status = leaf::try_handle_all(
            [&]() -> leaf::result<StoreStatus> {
                BOOST_LEAF_ASSIGN(reply, session.call(operation.request, remaining));
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
                            if (!watch.cancelled) {
                                this->report(operation.operation, StoreStatus::Ok,
                                             std::move(batch));
                            }
                        }));
                return StoreStatus::ReplyLost;
            },
            [](const StoreFailure &failure) { return failure.status; },
            [] { return StoreStatus::ReplyLost; });
    --this->openWatches;
    if (!watch.cancelled) {
        this->guard.run([&] { this->report(operation.operation, status, {}); });
    }
    watch.ended = true;
}

/// Joining does not block here, because the thread of an ended watch has finished its work.
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
