#pragma once

#include "core/ids.h"
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

/// Calls on the key-value service since the start, by kind.
struct StoreCallCounts
{
    std::uint64_t ranges = 0;
    std::uint64_t transactions = 0;
    std::uint64_t leaseGrants = 0;
    std::uint64_t watches = 0;
    std::uint64_t failures = 0;
    /// Watches open now; the service counts each as one call a second.
    std::uint64_t openWatches = 0;
};

/// Runs the reducer's store operations on threads of its own and gives their ends to a sink, which
/// is called on those threads and must not block for long. Each operation ends by exactly one
/// StoreReplied; a watch by one that is not Ok, or silently by endWatch.
class StoreClient
{
public:
    using Sink = std::function<void(EventBody)>;

    StoreClient(std::string address, Sink sink);
    /// Ends every call under way; what it would have reported is dropped.
    ~StoreClient();

    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    void execute(const StoreOperation &operation);
    void endWatch(StoreOpId operation);

    StoreCallCounts counts() const;

private:
    struct Watch;
    struct Pending
    {
        StoreOperation operation;
        std::chrono::steady_clock::time_point queuedAt;
    };

    void work(StoreSession &session);
    void run(StoreSession &session, const Pending &pending);
    void startWatch(const StoreOperation &operation);
    void runWatch(Watch &watch, const StoreOperation &operation);
    void removeEndedWatches();
    void count(const StoreRequest &request);
    void report(StoreOpId operation, StoreStatus status, StoreReply reply);

    std::string address;
    Sink sink;
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<Pending> pending;
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
