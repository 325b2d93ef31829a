#pragma once

#include "core/os/inbox.h"
#include "core/os/timer_queue.h"
#include "core/settings.h"
#include "drivers/caller_server.h"
#include "drivers/instance_list_poller.h"
#include "drivers/metrics_page.h"
#include "drivers/peer_socket.h"
#include "drivers/pending_answers.h"
#include "drivers/store_client.h"
#include "drivers/target_driver.h"
#include "logic/reducer.h"

#include <Poco/Net/PollSet.h>
#include <atomic>
#include <boost/leaf/result.hpp>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

/// How a node's run ended.
enum class RunEnd {
    Graceful,
    InvariantViolated,
};

/// One entry instance: its drivers round its reducer, and the event loop between them.
class EntryNode
{
public:
    explicit EntryNode(Settings settings);
    ~EntryNode();

    /// Serves until a stop is asked for and complete. Fails with CallFailed when a port can't be
    /// bound.
    boost::leaf::result<RunEnd> run(const std::function<bool()> &stopAsked);

private:
    // The event loop.

    boost::leaf::result<void> startDrivers();
    void turn(const std::function<bool()> &stopAsked);
    void collectEvents(Instant now);
    void applyPending();
    void poll(Instant now);
    bool drained(Instant now);

    // One call for each effect.

    void execute(SendSubRequest &effect);
    void execute(CancelSubRequest &effect);
    void execute(OpenConnection &effect);
    void execute(ProbeTarget &effect);
    void execute(CloseConnection &effect);
    void execute(AnswerCaller &effect);
    void execute(SendPeerMessage &effect);
    void execute(StoreOperation &effect);
    void execute(StoreWatchEnd &effect);
    void execute(SetTimer &effect);
    void execute(WriteLog &effect);
    void execute(StopCompleted &effect);

    /// Answers what other threads asked since the last turn.
    void answerStatusRequests();
    /// Asks the loop's thread for the status and waits for it; called by any other thread.
    std::optional<NodeStatus> askStatus();
    CallerServerHooks makeHooks();
    std::string metricsText();

    Settings settings;
    Reducer reducer;
    Inbox inbox;
    TimerQueue timers;
    std::deque<EventBody> pending;
    PendingAnswers answers;
    MetricsPage metrics;
    Poco::Net::PollSet pollSet;
    TargetDriver targets;
    std::unique_ptr<PeerSocket> peers;
    std::unique_ptr<StoreClient> store;
    std::unique_ptr<InstanceListPoller> instances;
    std::unique_ptr<CallerServer> callers;
    bool stopPosted = false;
    std::optional<Instant> stopCompletedAt;
    Instant silenceCheckedAt {};
    std::atomic<bool> ready {false};
    std::atomic<bool> stopping {false};
    std::mutex statusMutex;
    std::vector<std::promise<NodeStatus>> statusRequests;
};

} // namespace lagoondeck
