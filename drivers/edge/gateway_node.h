#pragma once

#include "core/gateway_settings.h"
#include "core/http_message.h"
#include "core/os/inbox.h"
#include "core/time.h"
#include "drivers/edge/bounds_check.h"
#include "drivers/edge/edge_loop.h"
#include "drivers/edge/gateway_metrics.h"
#include "drivers/edge/http_listener.h"
#include "drivers/edge/json_log.h"
#include "drivers/edge/member_addresses.h"
#include "drivers/edge/store_link.h"
#include "drivers/edge/target_links.h"
#include "drivers/peer_socket.h"
#include "drivers/step_guard.h"
#include "logic/gateway/gateway.h"
#include "logic/workload/connection_bounds.h"

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

/// An entry instance that forwards HTTP requests by routes. It runs the event loop that connects
/// the reducer (Gateway) with its drivers, all in one thread.
class GatewayNode
{
public:
    explicit GatewayNode(GatewaySettings settings);
    ~GatewayNode();

    /// Serves until a requested stop is complete. Calls reload after each SIGHUP. Fails with
    /// CallFailed if an address can't be bound.
    boost::leaf::result<void> run(ProcessSignals &signals, const std::function<void()> &reload);

private:
    /// A caller's request that has not been answered.
    struct PendingRequest
    {
        std::uint64_t connection = 0;
        std::string method;
        bool close = false;
    };

    boost::leaf::result<void> listen();
    void runIteration(ProcessSignals &signals, const std::function<void()> &reload);
    void detectPause(Instant now);
    void onRequestWritten(const TargetId &target, Duration delay);
    /// Records an iteration of the event loop.
    void recordIteration(Duration time);
    void checkTimeouts(Instant now);
    void beginStop(Instant now);
    bool canExit(Instant now) const;
    /// Stops taking connections unless some wait to be accepted and there is time to serve them.
    bool stopListening();
    /// Logs what the stop leaves unfinished.
    void logStopped();
    void applyPendingEvents();
    /// Answers a request whose event could not be applied.
    void answerFailedEvent(const GatewayEvent &event);
    Duration pollTimeout(Instant now) const;

    void onCallerRequest(ServerConnection &connection, HttpMessage message);
    void onCallerLeft(ServerConnection &connection);
    void onReadyRequest(ServerConnection &connection, const HttpMessage &message);
    void onControlRequest(ServerConnection &connection, const HttpMessage &message);
    void log(const WriteLog &entry);
    EdgeCounts edgeCounts() const;
    std::string statusJson() const;
    void processPeerMessages();
    /// Returns null if no member is registered with the address.
    const MemberRecord *findMember(const std::string &address);
    void sendToMember(const std::string &address,
                      const std::shared_ptr<const proto::PeerMessage> &message);

    void execute(StartAttempt &effect);
    void execute(CloseAttempt &effect);
    void execute(WithdrawUnsentAttempts &effect);
    void execute(ProbePath &effect);
    void execute(AnswerExchange &effect);
    void execute(CallStore &effect);
    void execute(DropIdleConnections &effect);
    void execute(SendStoreUpdate &effect);
    void execute(RequestBudget &effect);
    void execute(LendBudget &effect);
    void execute(ReportCrash &effect);
    void execute(ReportLimits &effect);
    void execute(RequestLimit &effect);
    void execute(LendLimit &effect);
    void execute(RequestLearnedState &effect);
    void execute(SendLearnedState &effect);
    void execute(AskAccountTokens &effect);
    void execute(GrantAccountTokens &effect);
    void execute(SendInquiry &effect);
    void execute(SendOffer &effect);
    void execute(DelegateRequest &effect);
    void execute(CancelDelegation &effect);
    void execute(SendReceipt &effect);
    void execute(SendDelegatedAnswer &effect);
    void execute(WriteLog &effect);

    GatewaySettings settings;
    MachineShares shares;
    JsonLog jsonLog;
    StepGuard guard {"main", [this](const WriteLog &entry) { this->log(entry); }};
    GatewayMetrics metrics;
    Gateway gateway;
    EdgeLoop loop;
    std::deque<GatewayEvent> pendingEvents;
    /// When the latest event was applied.
    Instant appliedAt {};
    DomainTraffic traffic;
    MemberAddresses memberAddresses;
    TargetLinks targets;
    StoreLink store;
    Inbox inbox;
    PeerSocket peers;
    BoundsCheck boundsCheck;
    std::unique_ptr<HttpListener> callerListener;
    std::unique_ptr<HttpListener> readyListener;
    std::unique_ptr<HttpListener> controlListener;
    std::unique_ptr<HttpListener> metricsListener;
    std::unordered_map<ExchangeId, PendingRequest> exchanges;
    /// The pending exchange of each caller connection.
    std::unordered_map<std::uint64_t, ExchangeId> exchangeByConnection;
    std::uint64_t lastExchangeId = 0;
    Instant lastTimeoutCheck {};
    Instant lastIterationAt {};
    std::optional<Instant> stopRequestedAt;
};

} // namespace lagoondeck
