#pragma once

#include "core/os/inbox.h"
#include "core/os/timer_queue.h"
#include "core/settings.h"
#include "drivers/caller_server.h"
#include "drivers/instance_list_poller.h"
#include "drivers/metrics_page.h"
#include "drivers/peer_socket.h"
#include "drivers/pending_answers.h"
#include "drivers/step_guard.h"
#include "drivers/store_client.h"
#include "drivers/target_driver.h"
#include "logic/invariant.h"
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

/// Reason why EntryNode::run() returned.
enum class RunResult {
    Graceful,
    InvariantViolated,
};

/// Runs one entry instance: its event loop passes the drivers' events to the reducer and executes
/// the reducer's effects through the drivers.
class EntryNode
{
public:
    explicit EntryNode(Settings settings);
    ~EntryNode();

    /// Serves until isStopRequested returns true and the graceful stop is complete. Fails with
    /// CallFailed when a port can't be bound.
    boost::leaf::result<RunResult> run(const std::function<bool()> &isStopRequested);

private:
    // The event loop.

    boost::leaf::result<void> startDrivers();
    void runOnce(const std::function<bool()> &isStopRequested);
    void collectEvents(Instant now);
    void applyPendingEvents();
    /// Returns no effects if applying the event failed.
    std::vector<Effect> applyEvent(const Event &event);
    void pollSockets(Instant now);
    bool isDrained(Instant now);

    // One overload for each type of effect.

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

    /// Answers the status requests that other threads made since the last iteration of the loop.
    void answerStatusRequests();
    /// Requests the status from the event loop's thread and waits for it. Returns nothing on a
    /// timeout. May be called from any thread but that of the loop.
    std::optional<NodeStatus> requestStatus();
    CallerServerHooks makeHooks();
    std::string metricsText();

    Settings settings;
    StepGuard guard;
    StepGuard callerGuard;
    Reducer reducer;
    Inbox inbox;
    TimerQueue timers;
    std::deque<EventBody> pendingEvents;
    PendingAnswers answers;
    MetricsPage metrics;
    Poco::Net::PollSet pollSet;
    TargetDriver targets;
    std::unique_ptr<PeerSocket> peers;
    std::unique_ptr<StoreClient> store;
    std::unique_ptr<InstanceListPoller> instances;
    std::unique_ptr<CallerServer> callers;
    std::optional<InvariantViolation> violation;
    bool stopPosted = false;
    std::optional<Instant> stopCompletedAt;
    Instant timeoutsCheckedAt {};
    std::atomic<bool> ready {false};
    std::atomic<bool> stopping {false};
    std::mutex statusMutex;
    std::vector<std::promise<NodeStatus>> statusRequests;
};

} // namespace lagoondeck
