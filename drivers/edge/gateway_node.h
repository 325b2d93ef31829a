#pragma once

#include "core/gateway_settings.h"
#include "core/http_message.h"
#include "core/os/inbox.h"
#include "core/time.h"
#include "drivers/edge/edge_loop.h"
#include "drivers/edge/gateway_metrics.h"
#include "drivers/edge/http_listener.h"
#include "drivers/edge/json_log.h"
#include "drivers/edge/store_link.h"
#include "drivers/edge/target_links.h"
#include "drivers/peer_socket.h"
#include "logic/gateway/gateway.h"

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace lagoondeck {

class ProcessSignals;

/// One entry instance that forwards HTTP by routes: its drivers round its reducer, and the event
/// loop between them. One thread does it all.
class GatewayNode
{
public:
    explicit GatewayNode(GatewaySettings settings);
    ~GatewayNode();

    /// Serves until a stop is asked for and complete. Fails with CallFailed when a port can't be
    /// bound. The reload hook is called for each SIGHUP.
    boost::leaf::result<void> run(ProcessSignals &signals, const std::function<void()> &reload);

private:
    /// A caller's request that has not been answered.
    struct Pending
    {
        std::uint64_t connection = 0;
        std::string method;
        bool close = false;
    };

    boost::leaf::result<void> listen();
    void turn(ProcessSignals &signals, const std::function<void()> &reload);
    void noticePause(Instant now);
    void checkTimes(Instant now);
    void beginStop(Instant now);
    bool stopped(Instant now) const;
    void applyPending();
    Duration waitTime(Instant now) const;

    void onCallerRequest(ServerConnection &connection, HttpMessage message);
    void onCallerLeft(ServerConnection &connection);
    void onReadyRequest(ServerConnection &connection, const HttpMessage &message);
    void onControlRequest(ServerConnection &connection, const HttpMessage &message);
    void log(const WriteLog &entry);
    EdgeCounts edgeCounts() const;
    std::string statusText() const;
    void takePeerMessages();

    void execute(StartAttempt &effect);
    void execute(CloseAttempt &effect);
    void execute(AnswerExchange &effect);
    void execute(CallStore &effect);
    void execute(DropIdleConnections &effect);
    void execute(SendStoreUpdate &effect);
    void execute(RequestBudget &effect);
    void execute(LendBudget &effect);
    void execute(ReportCrash &effect);
    void execute(WriteLog &effect);

    GatewaySettings settings;
    JsonLog logLines;
    GatewayMetrics metrics;
    Gateway gateway;
    EdgeLoop loop;
    std::deque<GatewayEvent> pending;
    TargetLinks targets;
    StoreLink store;
    Inbox inbox;
    PeerSocket peers;
    std::unique_ptr<HttpListener> callers;
    std::unique_ptr<HttpListener> balancer;
    std::unique_ptr<HttpListener> operators;
    std::unique_ptr<HttpListener> scraper;
    std::unordered_map<ExchangeId, Pending> exchanges;
    /// The exchange of a connection whose request waits.
    std::unordered_map<std::uint64_t, ExchangeId> waiting;
    std::uint64_t lastExchange = 0;
    Instant checkedAt {};
    Instant turnedAt {};
    Duration suspended {};
    std::optional<Instant> stopAt;
};

} // namespace lagoondeck
