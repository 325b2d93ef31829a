#include "drivers/edge/gateway_node.h"

#include "core/os/clock.h"
#include "core/os/process_signals.h"
#include "drivers/edge/account_messages.h"
#include "drivers/edge/delegation_messages.h"
#include "drivers/edge/learned_state_messages.h"
#include "drivers/edge/peer_messages.h"
#include "drivers/edge/peer_store_update.h"
#include "drivers/log_writer.h"
#include "platform/message_codec.h"
#include "proto/peer.pb.h"

#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusBodyTooLong = 413;
constexpr int statusHeaderTooLong = 431;
constexpr int statusInternalError = 500;
constexpr int statusUnavailable = 503;
constexpr Duration maxPollTimeout = std::chrono::milliseconds(100);
/// How often the timeouts of connections are checked.
constexpr Duration timeoutCheckInterval = std::chrono::milliseconds(100);
/// After a stop request the load balancer needs two readiness checks, one second apart, to notice
/// that this instance is not ready.
constexpr Duration balancerReactionTime = std::chrono::milliseconds(2600);
/// If an iteration of the event loop takes longer than this, the process was paused: work alone
/// does not take this long.
constexpr Duration pauseThreshold = std::chrono::milliseconds(700);
/// Longer delays are logged, because a caller may have waited for them.
constexpr Duration loggedWriteDelay = std::chrono::milliseconds(250);
constexpr Duration loggedIterationTime = std::chrono::milliseconds(100);
/// Balancers and operators need few connections, and no answer to them has more than some 100 KB.
constexpr std::size_t maxOperatorConnections = 32;
constexpr std::size_t maxOperatorBytes = 4 * 1024 * 1024;

/// Returns the encoded answer to a request that was not read completely.
std::string makeRefusal(int status)
{
    return wire::writePlainReply(status,
                                 status == statusUnavailable ? "the request can't be taken now"
                                                             : "the request can't be read",
                                 true);
}

bool exceedsLimits(int status)
{
    return status == statusBodyTooLong || status == statusHeaderTooLong;
}

} // namespace

GatewayNode::GatewayNode(GatewaySettings settings)
    : settings(std::move(settings)),
      shares(this->settings.memoryMegabytes, this->settings.maxDescriptors),
      jsonLog(STDOUT_FILENO, this->settings.id, this->settings.logLinesPerSecond),
      gateway(this->settings),
      targets(
              this->loop,
              [this](GatewayEvent event) { this->pendingEvents.push_back(std::move(event)); },
              [this](const TargetId &target, Duration delay) {
                  this->onRequestWritten(target, delay);
              },
              this->traffic, {this->shares.targetReplyBytes(), this->settings.message}),
      store(this->loop, this->settings.storeAddress,
            [this](GatewayEvent event) { this->pendingEvents.push_back(std::move(event)); },
            {this->shares.storeReplyBytes(), this->settings.message}),
      peers(
              this->settings.peerAddress, "",
              [this](EventBody body) { this->inbox.post(std::move(body)); }, writeLog),
      boundsCheck(this->shares, [this](const WriteLog &entry) { this->log(entry); })
{ }

GatewayNode::~GatewayNode()
{
    this->peers.stop();
}

void GatewayNode::processPeerMessages()
{
    for (const EventBody &body : this->inbox.takeAll()) {
        if (const auto *received = std::get_if<PeerMessageReceived>(&body)) {
            if (auto update = readStoreUpdate(*received->message)) {
                this->pendingEvents.push_back(std::move(*update));
            }
            if (auto request = readBudgetRequest(*received->message)) {
                this->pendingEvents.push_back(std::move(*request));
            }
            if (auto loan = readBudgetLoan(*received->message)) {
                this->pendingEvents.push_back(std::move(*loan));
            }
            if (auto crash = readCrashReport(*received->message)) {
                this->pendingEvents.push_back(std::move(*crash));
            }
            if (auto limits = readLimitReport(*received->message)) {
                this->pendingEvents.push_back(std::move(*limits));
            }
            if (auto request = readLimitRequest(*received->message)) {
                this->pendingEvents.push_back(std::move(*request));
            }
            if (auto loan = readLimitLoan(*received->message)) {
                this->pendingEvents.push_back(std::move(*loan));
            }
            if (auto request = readLearnedStateRequest(*received->message)) {
                this->pendingEvents.push_back(std::move(*request));
            }
            if (auto state = readLearnedState(*received->message)) {
                this->pendingEvents.push_back(std::move(*state));
            }
            if (auto asked = readAccountAsk(*received->message)) {
                this->pendingEvents.push_back(std::move(*asked));
            }
            if (auto granted = readAccountGrant(*received->message)) {
                this->pendingEvents.push_back(std::move(*granted));
            }
            if (auto delegation = readDelegationMessage(*received->message)) {
                this->pendingEvents.push_back(std::move(*delegation));
            }
        }
    }
}

leaf::result<void> GatewayNode::listen()
{
    const auto plainHooks = [this](auto handler) {
        ServerConnection::Hooks hooks;
        hooks.onRequest = [this, handler](ServerConnection &connection, HttpMessage message) {
            (this->*handler)(connection, message);
        };
        hooks.onPeerLeft = [](ServerConnection &) {};
        hooks.refusal = makeRefusal;
        return hooks;
    };
    ServerConnection::Hooks hooks;
    hooks.onRequest = [this](ServerConnection &connection, HttpMessage message) {
        this->onCallerRequest(connection, std::move(message));
    };
    hooks.onPeerLeft = [this](ServerConnection &connection) { this->onCallerLeft(connection); };
    hooks.refusal = [this](int status) {
        // The limits of the configuration may be higher than the defaults.
        const bool mayFit = exceedsLimits(status) && !this->gateway.knowsConfig();
        return makeRefusal(mayFit ? statusUnavailable : status);
    };
    this->callerListener = std::make_unique<HttpListener>(
            this->loop,
            [this] {
                CallerLimits limits = this->gateway.limits();
                limits.message = this->settings.message;
                return limits;
            },
            std::move(hooks),
            ConnectionBounds {this->shares.callerConnections(0), this->shares.callerBytes()});
    const auto defaults = [] { return CallerLimits {}; };
    const ConnectionBounds operatorBounds {maxOperatorConnections, maxOperatorBytes};
    this->readyListener = std::make_unique<HttpListener>(
            this->loop, defaults, plainHooks(&GatewayNode::onReadyRequest), operatorBounds);
    this->controlListener = std::make_unique<HttpListener>(
            this->loop, defaults, plainHooks(&GatewayNode::onControlRequest), operatorBounds);
    BOOST_LEAF_CHECK(this->callerListener->listen(this->settings.callerAddress));
    BOOST_LEAF_CHECK(this->readyListener->listen(this->settings.readyAddress));
    BOOST_LEAF_CHECK(this->controlListener->listen(this->settings.controlAddress));
    if (!this->settings.metricsAddress.empty()) {
        this->metricsListener = std::make_unique<HttpListener>(
                this->loop, defaults, plainHooks(&GatewayNode::onControlRequest), operatorBounds);
        BOOST_LEAF_CHECK(this->metricsListener->listen(this->settings.metricsAddress));
    }
    BOOST_LEAF_CHECK(this->peers.start());
    this->loop.add(this->inbox.wakeSocket(), Poco::Net::PollSet::POLL_READ,
                   [this](int) { this->processPeerMessages(); });
    return {};
}

leaf::result<void> GatewayNode::run(ProcessSignals &signals, const std::function<void()> &reload)
{
    signals.receive();
    if (signals.isStopRequested()) {
        // No caller could have connected.
        return {};
    }
    BOOST_LEAF_CHECK(this->listen());
    this->loop.add(signals.wakeSocket(), Poco::Net::PollSet::POLL_READ,
                   [&signals](int) { signals.receive(); });
    this->lastIterationAt = monotonicNow();
    this->log({LogEvent::Started,
               {{"callers", this->settings.callerAddress},
                {"failureDomain", this->settings.failureDomain.value},
                {"version", LAGOONDECK_VERSION}}});
    this->pendingEvents.push_back(GatewayStarted {});
    do {
        while (!this->canExit(monotonicNow())) {
            this->guard.runRepeated([&] { this->runIteration(signals, reload); });
        }
    } while (!this->stopListening());
    this->loop.remove(signals.wakeSocket());
    this->logStopped();
    this->jsonLog.flushAll();
    return {};
}

void GatewayNode::runIteration(ProcessSignals &signals, const std::function<void()> &reload)
{
    const Instant now = monotonicNow();
    if (signals.isStopRequested() && !this->stopRequestedAt) {
        this->beginStop(now);
    }
    if (signals.takeReloadRequest()) {
        reload();
    }
    this->detectPause(now);
    // Input is processed before timers, because after a slow iteration a reply may have arrived but
    // not been read.
    this->loop.poll(this->pollTimeout(now));
    this->applyPendingEvents();
    const Instant afterPoll = monotonicNow();
    if (afterPoll >= this->gateway.nextTimer()) {
        this->pendingEvents.push_back(TimerDue {});
    }
    this->checkTimeouts(afterPoll);
    this->applyPendingEvents();
    this->jsonLog.flush(afterPoll, wallNow());
    this->recordIteration(monotonicNow() - this->loop.wokeAt());
}

void GatewayNode::detectPause(Instant now)
{
    const Duration pauseLength = now - this->lastIterationAt;
    this->lastIterationAt = now;
    if (pauseLength > pauseThreshold) {
        this->pendingEvents.push_back(ProcessPaused {pauseLength});
    }
}

void GatewayNode::onRequestWritten(const TargetId &target, Duration delay)
{
    this->metrics.recordWriteDelay(delay);
    if (delay > loggedWriteDelay) {
        this->log({LogEvent::AttemptDelayed,
                   {{"target", target.value}, numberField("ms", toMilliseconds(delay))}});
    }
}

void GatewayNode::recordIteration(Duration time)
{
    this->metrics.recordIteration(time);
    if (time > loggedIterationTime) {
        this->log({LogEvent::LoopStalled, {numberField("ms", toMilliseconds(time))}});
    }
}

void GatewayNode::checkTimeouts(Instant now)
{
    if (now - this->lastTimeoutCheck < timeoutCheckInterval) {
        return;
    }
    this->lastTimeoutCheck = now;
    this->callerListener->checkTimeouts(now);
    this->readyListener->checkTimeouts(now);
    this->controlListener->checkTimeouts(now);
    if (this->metricsListener != nullptr) {
        this->metricsListener->checkTimeouts(now);
    }
    this->boundsCheck.run(*this->callerListener, this->targets, now);
    this->targets.checkTimeouts(now);
    this->store.checkTimeouts(now);
    if (this->stopRequestedAt && now > *this->stopRequestedAt + balancerReactionTime) {
        this->callerListener->closeUnused(now);
    }
}

void GatewayNode::beginStop(Instant now)
{
    this->stopRequestedAt = now;
    this->pendingEvents.push_back(GatewayStopRequested {});
}

void GatewayNode::logStopped()
{
    const ConnectionCounts counts = this->callerListener->counts();
    const auto count = [](std::string name, std::uint64_t value) {
        return numberField(std::move(name), static_cast<std::int64_t>(value));
    };
    this->log(
            {LogEvent::Stopped,
             {numberField("elapsedMs", toMilliseconds(monotonicNow() - *this->stopRequestedAt)),
              count("requestsLeft", this->exchanges.size()), count("connectionsLeft", counts.open),
              count("unsentAnswers", counts.unsent), count("unreadConnections", counts.unread)}});
}

bool GatewayNode::canExit(Instant now) const
{
    if (!this->stopRequestedAt) {
        return false;
    }
    const Shutdown &schedule = this->gateway.shutdownSchedule();
    if (now >= schedule.exitDueAt()) {
        return true;
    }
    if (!this->gateway.isIdle() || !this->exchanges.empty()) {
        return false;
    }
    if (now >= schedule.answersDueAt()) {
        return this->callerListener->isQuiet();
    }
    return this->callerListener->size() == 0 && now > *this->stopRequestedAt + balancerReactionTime;
}

bool GatewayNode::stopListening()
{
    return this->callerListener->stopUnlessWaiting()
            || monotonicNow() >= this->gateway.shutdownSchedule().exitDueAt();
}

void GatewayNode::applyPendingEvents()
{
    while (!this->pendingEvents.empty()) {
        const GatewayEvent event = std::move(this->pendingEvents.front());
        this->pendingEvents.pop_front();
        this->appliedAt = monotonicNow();
        std::vector<GatewayEffect> effects;
        if (!this->guard.run([&] { effects = this->gateway.apply(event, this->appliedAt); })) {
            this->answerFailedEvent(event);
        }
        for (GatewayEffect &effect : effects) {
            this->guard.run(
                    [&] { std::visit([this](auto &body) { this->execute(body); }, effect); });
        }
    }
}

void GatewayNode::answerFailedEvent(const GatewayEvent &event)
{
    const auto *arrived = std::get_if<RequestArrived>(&event);
    const auto found =
            arrived == nullptr ? this->exchanges.end() : this->exchanges.find(arrived->exchange);
    if (found == this->exchanges.end()) {
        return;
    }
    const std::uint64_t id = found->second.connection;
    this->exchanges.erase(found);
    this->exchangeByConnection.erase(id);
    if (ServerConnection *connection = this->callerListener->find(id)) {
        connection->answer(wire::writePlainReply(statusInternalError, "the request failed", true),
                           true, monotonicNow());
    }
}

Duration GatewayNode::pollTimeout(Instant now) const
{
    const Instant next = this->gateway.nextTimer();
    return next <= now ? Duration(0) : std::min<Duration>(next - now, maxPollTimeout);
}

void GatewayNode::onCallerRequest(ServerConnection &connection, HttpMessage message)
{
    const bool close = !message.keepsConnection || this->stopRequestedAt.has_value();
    std::string method = message.method;
    auto request = wire::readRequest(std::move(message));
    if (!request) {
        connection.answer(
                wire::writePlainReply(statusBadRequest, "the request is malformed", close), close,
                monotonicNow());
        return;
    }
    const ExchangeId exchange(++this->lastExchangeId);
    this->exchanges.emplace(exchange, PendingRequest {connection.id(), std::move(method), close});
    this->exchangeByConnection[connection.id()] = exchange;
    this->pendingEvents.push_back(RequestArrived {
            exchange,
            std::make_shared<const ForwardedRequest>(std::move(*request)),
            {connection.roundTripTime(), connection.requestCount() == 1, connection.peerHost()},
            monotonicNow() - connection.requestArrivedAfter()});
}

void GatewayNode::onCallerLeft(ServerConnection &connection)
{
    const auto found = this->exchangeByConnection.find(connection.id());
    if (found == this->exchangeByConnection.end()) {
        return;
    }
    const ExchangeId exchange = found->second;
    this->exchanges.erase(exchange);
    this->exchangeByConnection.erase(found);
    // A request that the reducer has not seen yet is forgotten at once, with the memory that it
    // takes: one iteration may read many requests of callers that are then closed.
    const auto unseen = std::ranges::find_if(this->pendingEvents, [&](const GatewayEvent &event) {
        const auto *arrived = std::get_if<RequestArrived>(&event);
        return arrived != nullptr && arrived->exchange == exchange;
    });
    if (unseen != this->pendingEvents.end()) {
        this->pendingEvents.erase(unseen);
    } else {
        this->pendingEvents.push_back(CallerLeft {exchange});
    }
}

void GatewayNode::onReadyRequest(ServerConnection &connection, const HttpMessage &message)
{
    const bool ready = this->gateway.isReady();
    connection.answer(wire::writePlainReply(ready ? statusOk : statusUnavailable,
                                            ready ? "ready" : "not ready",
                                            !message.keepsConnection),
                      !message.keepsConnection, monotonicNow());
}

std::string GatewayNode::statusJson() const
{
    const GatewayStatus status = this->gateway.status(monotonicNow());
    return nlohmann::json {{"ready", status.ready},
                           {"stopping", status.stopping},
                           {"configVersion", status.configVersion},
                           {"targets", status.targets},
                           {"members", status.members},
                           {"exchanges", status.exchanges},
                           {"attempts", status.attempts},
                           {"storeAway", status.storeUnavailable},
                           {"beliefAgeMs", toMilliseconds(status.storeDataAge)},
                           {"storeHistory", status.storeHistory},
                           {"storeCalls", this->store.calls()},
                           {"connectionsOpened", this->targets.connectionsOpened()},
                           {"requestsSent", this->targets.requestsSent()},
                           {"path", toString(status.path)},
                           {"helpRequested", status.delegation.helpRequested},
                           {"coordinator", status.isCoordinator},
                           {"coordinated", status.coordinated},
                           {"delegated", status.delegation.delegated},
                           {"delegationsReturned", status.delegation.returned}}
            .dump();
}

EdgeCounts GatewayNode::edgeCounts() const
{
    return {this->store.calls(),
            this->targets.connectionsOpened(),
            this->targets.requestsSent(),
            this->callerListener->size(),
            this->jsonLog.droppedLineCount(),
            this->callerListener->heldBytes(),
            this->callerListener->evictions(),
            this->targets.repliesEvicted(),
            {{this->guard.name(), this->guard.failures()},
             {this->peers.stepGuard().name(), this->peers.stepGuard().failures()}}};
}

void GatewayNode::onControlRequest(ServerConnection &connection, const HttpMessage &message)
{
    std::string text = "not found";
    int status = statusOk;
    if (message.target == "/status") {
        text = this->statusJson();
    } else if (message.target == "/metrics") {
        text = this->metrics.page(this->gateway.status(monotonicNow()), this->edgeCounts(),
                                  this->traffic);
    } else {
        status = statusNotFound;
    }
    connection.answer(wire::writePlainReply(status, text, !message.keepsConnection),
                      !message.keepsConnection, monotonicNow());
}

} // namespace lagoondeck
