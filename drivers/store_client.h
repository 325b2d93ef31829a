#pragma once

#include "core/ids.h"
#include "drivers/step_guard.h"
#include "drivers/store_session.h"
#include "logic/effects.h"
#include "logic/events.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lagoondeck {

/// Counts the calls to the key-value service since the start, by kind.
struct StoreCallCounts
{
    std::uint64_t ranges = 0;
    std::uint64_t transactions = 0;
    std::uint64_t leaseGrants = 0;
    std::uint64_t watches = 0;
    std::uint64_t failures = 0;
    /// Currently open watches; the service counts each as one call per second.
    std::uint64_t openWatches = 0;
};

/// Runs the reducer's store operations on its own threads and passes the results to a sink, which
/// is called on those threads and must not block for long. Each operation results in exactly one
/// StoreReplied. A watch reports each batch with status Ok and ends with one StoreReplied that is
/// not Ok, or without any after endWatch().
class StoreClient
{
public:
    using Sink = std::function<void(EventBody)>;

    StoreClient(std::string address, Sink sink, StepGuard::LogSink logSink = nullptr);
    /// Aborts running calls, ends watches without a report and drops queued calls.
    ~StoreClient();

    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    void execute(const StoreOperation &operation);
    void endWatch(StoreOpId operation);

    StoreCallCounts counts() const;
    const StepGuard &stepGuard() const { return this->guard; }

private:
    struct Watch;
    struct PendingOperation
    {
        StoreOperation operation;
        std::chrono::steady_clock::time_point queuedAt;
    };

    void runWorker(StoreSession &session);
    void runOperation(StoreSession &session, const PendingOperation &pending);
    void startWatch(const StoreOperation &operation);
    void runWatch(Watch &watch, const StoreOperation &operation);
    void removeEndedWatches();
    void countCall(const StoreRequest &request);
    void report(StoreOpId operation, StoreStatus status, StoreReply reply);

    std::string address;
    Sink sink;
    StepGuard guard;
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<PendingOperation> pending;
    bool stopping = false;
    std::map<StoreOpId, std::unique_ptr<Watch>> watches;
    std::vector<std::unique_ptr<StoreSession>> sessions;
    std::vector<std::thread> workers;
    std::atomic<std::uint64_t> ranges = 0;
    std::atomic<std::uint64_t> transactions = 0;
    std::atomic<std::uint64_t> leaseGrants = 0;
    std::atomic<std::uint64_t> watchCalls = 0;
    std::atomic<std::uint64_t> failures = 0;
    std::atomic<std::uint64_t> openWatches = 0;
};

} // namespace lagoondeck
