#include "logic/selection/connection_manager.h"

#include "logic/invariant.h"
#include "logic/limits/connection_share.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

/// A target whose last report is older than this is asked for a new one.
constexpr Duration maxReportAge = std::chrono::milliseconds(500);
constexpr Duration initialConnectBackoff = std::chrono::milliseconds(50);
constexpr Duration maxConnectBackoff = std::chrono::seconds(2);
constexpr std::uint32_t maxBackoffDoublings = 6;

/// Returns an exponential backoff with jitter, so that the instances don't reconnect to a target at
/// the same time.
Duration connectBackoff(std::uint32_t failures, RandomEngine &random)
{
    const std::uint32_t doublings = std::min(failures, maxBackoffDoublings);
    const Duration ceiling = std::min(maxConnectBackoff, initialConnectBackoff * (1 << doublings));
    std::uniform_int_distribution<Duration::rep> jitter(ceiling.count() / 2, ceiling.count());
    return Duration(jitter(random));
}

/// Returns whether a new process may have replaced the leaving target at the same address.
bool canHaveBeenReplaced(const TargetState &state)
{
    return state.endedSinceLeaving && state.info.state == InstanceState::Live;
}

} // namespace

ConnectionManager::ConnectionManager(std::uint32_t expectedInstances)
    : expectedInstances(expectedInstances)
{ }

std::uint32_t ConnectionManager::shareOf(const TargetState &state) const
{
    const std::uint32_t share =
            connectionShare(state.info.connectionCap, state.info.slots,
                            std::max(this->liveInstances, this->expectedInstances));
    return state.leaving ? std::min(share, 1U) : share;
}

void ConnectionManager::adjustToShare(TargetState &state, Context &context)
{
    const std::size_t share = this->shareOf(state);
    while (!state.leaving && state.connections.size() > share) {
        const TargetConnection *idle = state.findIdleConnection();
        if (idle == nullptr) {
            break;
        }
        const ConnectionId id = idle->id;
        context.emit(CloseConnection {id, state.info.id});
        std::erase_if(state.connections,
                      [&](const auto &connection) { return connection.id == id; });
    }
    const bool isWanted =
            !state.leaving || (state.connections.empty() && canHaveBeenReplaced(state));
    if (this->draining || state.removed || !isWanted || context.now < state.retryConnectAt) {
        return;
    }
    while (state.connections.size() < share) {
        this->open(state, context);
    }
}

void ConnectionManager::open(TargetState &state, Context &context)
{
    const auto id = context.ids.next<ConnectionId>();
    state.connections.push_back({id, ConnectionUse::Opening});
    ensure(state.connections.size() <= this->shareOf(state), Invariant::ConnectionCapKept,
           [&] { return state.info.id.value; });
    context.emit(OpenConnection {id, state.info.id, state.info.address});
}

void ConnectionManager::closeIdle(TargetState &state, Context &context)
{
    std::erase_if(state.connections, [&](const TargetConnection &connection) {
        if (connection.use != ConnectionUse::Idle) {
            return false;
        }
        context.emit(CloseConnection {connection.id, state.info.id});
        return true;
    });
}

void ConnectionManager::returnToIdle(TargetState &state, ConnectionId id, Context &context)
{
    if (TargetConnection *connection = state.findConnection(id)) {
        connection->use = ConnectionUse::Idle;
    }
    if (this->draining || state.removed) {
        this->closeIdle(state, context);
    }
}

void ConnectionManager::onClosed(TargetState &state, const ConnectionClosed &event,
                                 Context &context)
{
    const TargetConnection *connection = state.findConnection(event.connection);
    if (connection != nullptr && connection->use == ConnectionUse::SubRequest) {
        --state.inFlight;
    }
    std::erase_if(state.connections, [&](const TargetConnection &candidate) {
        return candidate.id == event.connection;
    });
    const bool refused = event.end == ConnectionEnd::RefusedAtCap;
    const bool unreachable = event.end == ConnectionEnd::ConnectFailed;
    if (refused || unreachable) {
        state.retryConnectAt = context.now + connectBackoff(state.connectFailures, context.random);
        ++state.connectFailures;
    }
    if (state.leaving && (unreachable || event.end == ConnectionEnd::Lost)) {
        state.endedSinceLeaving = true;
    }
    if (refused) {
        context.log(LogEvent::ConnectionRefused, {{"target", event.target.value}});
    }
}

void ConnectionManager::probeIfSilent(TargetState &state, Context &context)
{
    if (this->draining || state.removed || !state.reportedAt
        || context.now - *state.reportedAt < maxReportAge) {
        return;
    }
    const bool controlInFlight = std::ranges::any_of(state.connections, [](const auto &connection) {
        return connection.use == ConnectionUse::Control;
    });
    TargetConnection *idle = state.findIdleConnection();
    if (controlInFlight || idle == nullptr) {
        return;
    }
    idle->use = ConnectionUse::Control;
    context.emit(ProbeTarget {idle->id, state.info.id});
}

} // namespace lagoondeck
