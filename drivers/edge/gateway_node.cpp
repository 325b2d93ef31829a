#include "drivers/edge/gateway_node.h"

#include "core/os/clock.h"
#include "core/os/process_signals.h"
#include "drivers/edge/peer_news.h"
#include "drivers/edge/peer_words.h"
#include "drivers/log_writer.h"
#include "platform/message_codec.h"

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
constexpr int statusUnavailable = 503;
/// Also the longest time that a signal stays unseen.
constexpr Duration longestPoll = std::chrono::milliseconds(100);
/// How often time limits of connections are looked at.
constexpr Duration checkInterval = std::chrono::milliseconds(100);
/// After the request to stop the balancer needs two questions, a second apart, to notice it.
constexpr Duration balancerNotices = std::chrono::milliseconds(2600);
/// Kept back from the grace for the last bytes.
constexpr Duration stopReserve = std::chrono::milliseconds(400);
/// A turn that took longer than this was not only work: the process did not run.
constexpr Duration longestTurn = std::chrono::milliseconds(700);

std::string refusalText(int status)
{
    return wire::writePlainReply(status, "the request can't be read", true);
}

} // namespace

GatewayNode::GatewayNode(GatewaySettings settings)
    : settings(std::move(settings)),
      logLines(STDOUT_FILENO, this->settings.id, this->settings.logLinesPerSecond),
      gateway(this->settings),
      targets(this->loop,
              [this](GatewayEvent event) { this->pending.push_back(std::move(event)); }),
      store(this->loop, this->settings.storeAddress,
            [this](GatewayEvent event) { this->pending.push_back(std::move(event)); }),
      peers(
              this->settings.peerAddress, "",
              [this](EventBody body) { this->inbox.post(std::move(body)); }, writeLog)
{ }

GatewayNode::~GatewayNode()
{
    this->peers.stop();
}

void GatewayNode::takePeerMessages()
{
    for (const EventBody &body : this->inbox.takeAll()) {
        if (const auto *received = std::get_if<PeerMessageReceived>(&body)) {
            if (auto news = readNews(*received->message)) {
                this->pending.push_back(std::move(*news));
            }
            if (auto ask = readAsk(*received->message)) {
                this->pending.push_back(std::move(*ask));
            }
            if (auto loan = readLoan(*received->message)) {
                this->pending.push_back(std::move(*loan));
            }
            if (auto crash = readCrash(*received->message)) {
                this->pending.push_back(std::move(*crash));
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
        hooks.onLeft = [](ServerConnection &) {};
        hooks.refusal = refusalText;
        return hooks;
    };
    ServerConnection::Hooks hooks;
    hooks.onRequest = [this](ServerConnection &connection, HttpMessage message) {
        this->onCallerRequest(connection, std::move(message));
    };
    hooks.onLeft = [this](ServerConnection &connection) { this->onCallerLeft(connection); };
    hooks.refusal = refusalText;
    this->callers = std::make_unique<HttpListener>(
            this->loop, [this] { return this->gateway.limits(); }, std::move(hooks));
    const auto defaults = [] { return CallerLimits {}; };
    this->balancer = std::make_unique<HttpListener>(this->loop, defaults,
                                                    plainHooks(&GatewayNode::onReadyRequest));
    this->operators = std::make_unique<HttpListener>(this->loop, defaults,
                                                     plainHooks(&GatewayNode::onControlRequest));
    BOOST_LEAF_CHECK(this->callers->listen(this->settings.callerAddress));
    BOOST_LEAF_CHECK(this->balancer->listen(this->settings.readyAddress));
    BOOST_LEAF_CHECK(this->operators->listen(this->settings.controlAddress));
    if (!this->settings.metricsAddress.empty()) {
        this->scraper = std::make_unique<HttpListener>(this->loop, defaults,
                                                       plainHooks(&GatewayNode::onControlRequest));
        BOOST_LEAF_CHECK(this->scraper->listen(this->settings.metricsAddress));
    }
    BOOST_LEAF_CHECK(this->peers.start());
    this->loop.add(this->inbox.wakeSocket(), Poco::Net::PollSet::POLL_READ,
                   [this](int) { this->takePeerMessages(); });
    return {};
}

leaf::result<void> GatewayNode::run(ProcessSignals &signals, const std::function<void()> &reload)
{
    BOOST_LEAF_CHECK(this->listen());
    this->turnedAt = monotonicNow();
    this->suspended = suspendedTime();
    this->log({LogEvent::Started,
               {{"callers", this->settings.callerAddress},
                {"failureDomain", this->settings.failureDomain.value},
                {"version", LAGOONDECK_VERSION}}});
    this->pending.push_back(GatewayStarted {});
    while (!this->stopped(monotonicNow())) {
        this->turn(signals, reload);
    }
    this->log({LogEvent::Stopped,
               {numberField("requestsLeft", static_cast<std::int64_t>(this->exchanges.size()))}});
    this->logLines.flushAll();
    return {};
}

void GatewayNode::turn(ProcessSignals &signals, const std::function<void()> &reload)
{
    const Instant now = monotonicNow();
    if (signals.stopAsked() && !this->stopAt) {
        this->beginStop(now);
    }
    if (signals.takeReload()) {
        reload();
    }
    this->noticePause(now);
    // What came meanwhile goes before the timers: after a slow turn a reply may lie there unread.
    this->loop.poll(this->waitTime(now));
    this->applyPending();
    const Instant read = monotonicNow();
    if (read >= this->gateway.nextTimer()) {
        this->pending.push_back(TimerDue {});
    }
    this->checkTimes(read);
    this->applyPending();
    this->logLines.flush(read, wallNow());
}

void GatewayNode::noticePause(Instant now)
{
    const Duration suspendedNow = suspendedTime();
    const Duration length =
            std::max<Duration>(now - this->turnedAt, suspendedNow - this->suspended);
    this->turnedAt = now;
    this->suspended = suspendedNow;
    if (length > longestTurn) {
        this->pending.push_back(ProcessPaused {length});
    }
}

void GatewayNode::checkTimes(Instant now)
{
    if (now - this->checkedAt < checkInterval) {
        return;
    }
    this->checkedAt = now;
    this->callers->checkTimes(now);
    this->balancer->checkTimes(now);
    this->operators->checkTimes(now);
    if (this->scraper != nullptr) {
        this->scraper->checkTimes(now);
    }
    this->targets.checkTime(now);
    this->store.checkTime(now);
    if (this->stopAt && now > *this->stopAt + balancerNotices) {
        this->callers->closeIdle();
    }
}

void GatewayNode::beginStop(Instant now)
{
    this->stopAt = now;
    this->pending.push_back(GatewayStopRequested {});
}

bool GatewayNode::stopped(Instant now) const
{
    if (!this->stopAt) {
        return false;
    }
    const bool drained = this->gateway.isIdle() && this->exchanges.empty()
            && this->callers->size() == 0 && now > *this->stopAt + balancerNotices;
    return drained || now > *this->stopAt + this->settings.stopGrace - stopReserve;
}

void GatewayNode::applyPending()
{
    while (!this->pending.empty()) {
        const GatewayEvent event = std::move(this->pending.front());
        this->pending.pop_front();
        for (GatewayEffect &effect : this->gateway.apply(event, monotonicNow())) {
            std::visit([this](auto &body) { this->execute(body); }, effect);
        }
    }
}

Duration GatewayNode::waitTime(Instant now) const
{
    const Instant next = this->gateway.nextTimer();
    return next <= now ? Duration(0) : std::min<Duration>(next - now, longestPoll);
}

void GatewayNode::onCallerRequest(ServerConnection &connection, HttpMessage message)
{
    const bool close = !message.keepsConnection || this->stopAt.has_value();
    std::string method = message.method;
    auto request = wire::readRequest(std::move(message));
    if (!request) {
        connection.answer(
                wire::writePlainReply(statusBadRequest, "the request is malformed", close), close,
                monotonicNow());
        return;
    }
    const ExchangeId exchange(++this->lastExchange);
    this->exchanges.emplace(exchange, Pending {connection.id(), std::move(method), close});
    this->waiting[connection.id()] = exchange;
    this->pending.push_back(RequestArrived {
            exchange, std::make_shared<const ForwardedRequest>(std::move(*request))});
}

void GatewayNode::onCallerLeft(ServerConnection &connection)
{
    const auto found = this->waiting.find(connection.id());
    if (found == this->waiting.end()) {
        return;
    }
    this->exchanges.erase(found->second);
    this->pending.push_back(CallerLeft {found->second});
    this->waiting.erase(found);
}

void GatewayNode::onReadyRequest(ServerConnection &connection, const HttpMessage &message)
{
    const bool ready = this->gateway.isReady();
    connection.answer(wire::writePlainReply(ready ? statusOk : statusUnavailable,
                                            ready ? "ready" : "not ready",
                                            !message.keepsConnection),
                      !message.keepsConnection, monotonicNow());
}

std::string GatewayNode::statusText() const
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
                           {"storeCalls", this->store.calls()},
                           {"connectionsOpened", this->targets.opened()},
                           {"requestsSent", this->targets.sent()}}
            .dump();
}

EdgeCounts GatewayNode::edgeCounts() const
{
    return {this->store.calls(), this->targets.opened(), this->targets.sent(),
            this->callers->size(), this->logLines.droppedLines()};
}

void GatewayNode::onControlRequest(ServerConnection &connection, const HttpMessage &message)
{
    std::string text = "not found";
    int status = statusOk;
    if (message.target == "/status") {
        text = this->statusText();
    } else if (message.target == "/metrics") {
        text = this->metrics.page(this->gateway.status(monotonicNow()), this->edgeCounts());
    } else {
        status = statusNotFound;
    }
    connection.answer(wire::writePlainReply(status, text, !message.keepsConnection),
                      !message.keepsConnection, monotonicNow());
}

void GatewayNode::execute(StartAttempt &effect)
{
    this->targets.start(effect, monotonicNow());
}

void GatewayNode::execute(CloseAttempt &effect)
{
    this->targets.closeAttempt(effect.attempt);
}

void GatewayNode::execute(AnswerExchange &effect)
{
    this->metrics.record(effect.end);
    const auto found = this->exchanges.find(effect.exchange);
    if (found == this->exchanges.end()) {
        return;
    }
    const Pending pending = std::move(found->second);
    this->exchanges.erase(found);
    this->waiting.erase(pending.connection);
    if (ServerConnection *connection = this->callers->find(pending.connection)) {
        const bool close = pending.close || this->stopAt.has_value();
        connection->answer(wire::writeCallerReply(effect.reply, pending.method, close), close,
                           monotonicNow());
    }
}

void GatewayNode::execute(CallStore &effect)
{
    this->store.call(effect, monotonicNow());
}

void GatewayNode::execute(DropIdleConnections &)
{
    this->targets.dropIdle();
    this->store.dropIdle();
}

void GatewayNode::execute(SendStoreUpdate &effect)
{
    const auto message =
            writeNews(*effect.update, this->settings.id.value, this->settings.peerAddress);
    for (const std::string &receiver : effect.receivers) {
        this->peers.send(receiver, message);
    }
}

void GatewayNode::execute(RequestBudget &effect)
{
    this->peers.send(effect.receiver,
                     writeAsk(effect, this->settings.id.value, this->settings.peerAddress));
}

void GatewayNode::execute(LendBudget &effect)
{
    this->peers.send(effect.receiver,
                     writeLoan(effect, this->settings.id.value, this->settings.peerAddress));
}

void GatewayNode::execute(ReportCrash &effect)
{
    const auto message = writeCrash(effect, this->settings.id.value, this->settings.peerAddress);
    for (const std::string &receiver : effect.receivers) {
        this->peers.send(receiver, message);
    }
}

void GatewayNode::execute(WriteLog &effect)
{
    this->log(effect);
}

void GatewayNode::log(const WriteLog &entry)
{
    this->logLines.write(entry, monotonicNow(), wallNow());
}

} // namespace lagoondeck
