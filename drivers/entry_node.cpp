#include "drivers/entry_node.h"

#include "core/errors.h"
#include "core/os/clock.h"
#include "drivers/log_writer.h"
#include "drivers/status_codec.h"
#include "logic/invariant.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>
#include <utility>
#include <variant>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

/// This is also the longest delay until a stop request is noticed.
constexpr Duration maxPollTime = std::chrono::milliseconds(100);
constexpr Duration timeoutCheckInterval = std::chrono::milliseconds(100);
/// Time to write out the last answers after the reducer has completed the stop.
constexpr Duration flushTimeout = std::chrono::seconds(2);

} // namespace

EntryNode::EntryNode(Settings settings)
    : settings(std::move(settings)), guard("main", writeLog), callerGuard("callers", writeLog),
      reducer(this->settings, Policy::of(this->settings.policy)),
      targets(this->pollSet, this->settings.id,
              [this](EventBody body) { this->pendingEvents.push_back(std::move(body)); })
{ }

EntryNode::~EntryNode() = default;

CallerServerHooks EntryNode::makeHooks()
{
    CallerServerHooks hooks;
    hooks.post = [this](EventBody body) { this->inbox.post(std::move(body)); };
    hooks.isReady = [this] { return this->ready.load(); };
    hooks.isStopping = [this] { return this->stopping.load(); };
    hooks.statusJson = [this] {
        const auto status = this->requestStatus();
        const ControlCost cost {this->peers->traffic(), this->store->counts(),
                                this->instances->calls()};
        return status ? writeStatus(*status, cost) : std::string("{}");
    };
    hooks.metricsText = [this] { return this->metricsText(); };
    return hooks;
}

std::string EntryNode::metricsText()
{
    DriverCounts counts {this->store->counts(), this->peers->traffic(), this->instances->calls()};
    const std::array<const StepGuard *, 5> guards {
            &this->guard, &this->callerGuard, &this->peers->stepGuard(), &this->store->stepGuard(),
            &this->instances->stepGuard()};
    for (const StepGuard *steps : guards) {
        counts.failedSteps[steps->name()] = steps->failures();
    }
    return this->metrics.text(this->requestStatus().value_or(NodeStatus {}), counts);
}

leaf::result<void> EntryNode::startDrivers()
{
    const auto post = [this](EventBody body) { this->inbox.post(std::move(body)); };
    this->pollSet.add(this->inbox.wakeSocket(), Poco::Net::PollSet::POLL_READ);
    this->peers = std::make_unique<PeerSocket>(this->settings.peerAddress, this->settings.peerKey,
                                               post, writeLog);
    BOOST_LEAF_CHECK(this->peers->start());
    this->store = std::make_unique<StoreClient>(this->settings.storeAddress, post, writeLog);
    this->instances = std::make_unique<InstanceListPoller>(
            this->settings.instanceListAddress, this->settings.instanceListInterval, post);
    try {
        this->callers = std::make_unique<CallerServer>(this->settings, this->answers,
                                                       this->makeHooks(), this->callerGuard);
    } catch (const Poco::Exception &error) {
        return leaf::new_error(CallFailed {this->settings.httpAddress, error.displayText(), false});
    }
    return {};
}

leaf::result<RunResult> EntryNode::run(const std::function<bool()> &isStopRequested)
{
    BOOST_LEAF_CHECK(this->startDrivers());
    this->pendingEvents.push_back(ProcessStarted {});
    writeLog({LogEvent::Started,
              {{"id", this->settings.id.value}, {"http", this->settings.httpAddress}}});
    while (!this->violation && !this->isDrained(monotonicNow())) {
        this->guard.runRepeated([&] { this->runOnce(isStopRequested); });
    }
    if (this->violation) {
        writeLog({LogEvent::InvariantViolated, {{"rule", this->violation->what()}}});
        return RunResult::InvariantViolated;
    }
    // The other drivers are kept until this object is destroyed, because a request for the metrics
    // may still be running.
    this->callers->stop();
    this->peers->stop();
    writeLog({LogEvent::Stopped, {{"id", this->settings.id.value}}});
    return RunResult::Graceful;
}

void EntryNode::runOnce(const std::function<bool()> &isStopRequested)
{
    if (!this->stopPosted && isStopRequested()) {
        this->stopPosted = true;
        this->pendingEvents.push_back(StopRequested {});
    }
    const Instant now = monotonicNow();
    this->collectEvents(now);
    this->applyPendingEvents();
    this->answerStatusRequests();
    this->pollSockets(monotonicNow());
}

void EntryNode::collectEvents(Instant now)
{
    for (const Timer &timer : this->timers.takeExpired(now)) {
        this->pendingEvents.push_back(TimerFired {timer});
    }
    for (EventBody &body : this->inbox.takeAll()) {
        this->pendingEvents.push_back(std::move(body));
    }
    if (now - this->timeoutsCheckedAt >= timeoutCheckInterval) {
        this->timeoutsCheckedAt = now;
        this->targets.closeTimedOut(now);
    }
}

void EntryNode::applyPendingEvents()
{
    while (!this->violation && !this->pendingEvents.empty()) {
        const Event event {monotonicNow(), wallNow(), std::move(this->pendingEvents.front())};
        this->pendingEvents.pop_front();
        for (Effect &effect : this->applyEvent(event)) {
            this->guard.run(
                    [&] { std::visit([this](auto &body) { this->execute(body); }, effect); });
        }
    }
}

std::vector<Effect> EntryNode::applyEvent(const Event &event)
{
    std::vector<Effect> effects;
    const bool applied = this->guard.run([&] {
        try {
            effects = this->reducer.apply(event);
        } catch (const InvariantViolation &thrown) {
            this->violation = thrown;
        }
    });
    if (const auto *request = std::get_if<CallerRequest>(&event.body); !applied && request) {
        // The caller waits for an answer, and it is unknown which part of the request was started.
        Answer answer;
        answer.outcome = Outcome::Unknown;
        answer.reason = FailureReason::TargetFailed;
        this->answers.fulfil(request->query, std::move(answer));
    }
    return effects;
}

void EntryNode::pollSockets(Instant now)
{
    Duration wait = this->pendingEvents.empty() ? maxPollTime : Duration(0);
    if (const auto next = this->timers.next()) {
        wait = std::clamp(*next - now, Duration(0), wait);
    }
    // PollSet truncates the wait to whole milliseconds. It is rounded up, because a wait below one
    // millisecond would become 0 and the loop would spin.
    const Duration rounded = std::chrono::ceil<std::chrono::milliseconds>(wait);
    for (const auto &[socket, mode] : this->pollSet.poll(Poco::Timespan(rounded.count()))) {
        this->targets.onReady(socket, mode, now);
    }
}

bool EntryNode::isDrained(Instant now)
{
    if (!this->stopCompletedAt) {
        return false;
    }
    const bool idle = this->callers->activeRequestCount() == 0 && this->answers.waitingCount() == 0;
    return idle || now - *this->stopCompletedAt > flushTimeout;
}

void EntryNode::answerStatusRequests()
{
    this->ready = this->reducer.isReady();
    this->stopping = this->reducer.isStopping();
    std::vector<std::promise<NodeStatus>> requests;
    {
        const std::lock_guard lock(this->statusMutex);
        requests.swap(this->statusRequests);
    }
    if (requests.empty()) {
        return;
    }
    const NodeStatus status = this->reducer.status();
    for (std::promise<NodeStatus> &request : requests) {
        request.set_value(status);
    }
}

std::optional<NodeStatus> EntryNode::requestStatus()
{
    std::future<NodeStatus> answer;
    {
        const std::lock_guard lock(this->statusMutex);
        answer = this->statusRequests.emplace_back().get_future();
    }
    this->inbox.wake();
    const auto wait = std::chrono::seconds(1);
    return answer.wait_for(wait) == std::future_status::ready ? std::optional(answer.get())
                                                              : std::nullopt;
}

void EntryNode::execute(SendSubRequest &effect)
{
    this->targets.send(effect, monotonicNow());
}

void EntryNode::execute(CancelSubRequest &effect)
{
    this->targets.cancel(effect, monotonicNow());
}

void EntryNode::execute(OpenConnection &effect)
{
    this->targets.open(effect, monotonicNow());
}

void EntryNode::execute(ProbeTarget &effect)
{
    this->targets.probe(effect, monotonicNow());
}

void EntryNode::execute(CloseConnection &effect)
{
    this->targets.close(effect);
}

void EntryNode::execute(AnswerCaller &effect)
{
    this->metrics.record(effect);
    this->answers.fulfil(effect.query, std::move(effect.answer));
}

void EntryNode::execute(SendPeerMessage &effect)
{
    this->peers->send(effect.address, effect.message);
}

void EntryNode::execute(StoreOperation &effect)
{
    this->store->execute(effect);
}

void EntryNode::execute(StoreWatchEnd &effect)
{
    this->store->endWatch(effect.operation);
}

void EntryNode::execute(SetTimer &effect)
{
    this->timers.set(effect.timer, effect.at);
}

void EntryNode::execute(WriteLog &effect)
{
    writeLog(effect);
}

void EntryNode::execute(StopCompleted &)
{
    this->stopCompletedAt = monotonicNow();
}

} // namespace lagoondeck
