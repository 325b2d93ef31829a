#include "logic/selection/connection_keeper.h"

#include "logic/invariant.h"
#include "logic/limits/connection_share.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

/// A target that told nothing for this long is asked.
constexpr Duration reportAge = std::chrono::milliseconds(500);
constexpr Duration firstConnectBackoff = std::chrono::milliseconds(50);
constexpr Duration longestConnectBackoff = std::chrono::seconds(2);
constexpr std::uint32_t mostBackoffDoublings = 6;

/// Exponential with jitter, so that instances don't return to a target together.
Duration connectBackoff(std::uint32_t failures, RandomEngine &random)
{
    const std::uint32_t doublings = std::min(failures, mostBackoffDoublings);
    const Duration ceiling =
            std::min(longestConnectBackoff, firstConnectBackoff * (1 << doublings));
    std::uniform_int_distribution<Duration::rep> jitter(ceiling.count() / 2, ceiling.count());
    return Duration(jitter(random));
}

/// Whether a process that answers at the leaving target's address may be another one.
bool mayHaveBeenReplaced(const TargetState &state)
{
    return state.endedSinceLeaving && state.info.state == InstanceState::Live;
}

} // namespace

ConnectionKeeper::ConnectionKeeper(std::uint32_t expectedInstances)
    : expectedInstances(expectedInstances)
{ }

std::uint32_t ConnectionKeeper::shareOf(const TargetState &state) const
{
    const std::uint32_t share =
            connectionShare(state.info.connectionCap, state.info.slots,
                            std::max(this->liveInstances, this->expectedInstances));
    return state.leaving ? std::min(share, 1U) : share;
}

void ConnectionKeeper::keepShare(TargetState &state, Context &context)
{
    const std::size_t share = this->shareOf(state);
    while (!state.leaving && state.connections.size() > share) {
        const TargetConnection *idle = state.idleConnection();
        if (idle == nullptr) {
            break;
        }
        const ConnectionId id = idle->id;
        context.emit(CloseConnection {id, state.info.id});
        std::erase_if(state.connections, [&](const auto &each) { return each.id == id; });
    }
    const bool wanted = !state.leaving || (state.connections.empty() && mayHaveBeenReplaced(state));
    if (this->closing || state.gone || !wanted || context.now < state.retryConnectAt) {
        return;
    }
    while (state.connections.size() < share) {
        this->open(state, context);
    }
}

void ConnectionKeeper::open(TargetState &state, Context &context)
{
    const auto id = context.ids.next<ConnectionId>();
    state.connections.push_back({id, ConnectionUse::Opening});
    ensure(state.connections.size() <= this->shareOf(state), Invariant::ConnectionCapKept,
           [&] { return state.info.id.value; });
    context.emit(OpenConnection {id, state.info.id, state.info.address});
}

void ConnectionKeeper::closeIdle(TargetState &state, Context &context)
{
    std::erase_if(state.connections, [&](const TargetConnection &connection) {
        if (connection.use != ConnectionUse::Idle) {
            return false;
        }
        context.emit(CloseConnection {connection.id, state.info.id});
        return true;
    });
}

void ConnectionKeeper::settle(TargetState &state, ConnectionId id, Context &context)
{
    if (TargetConnection *connection = state.connection(id)) {
        connection->use = ConnectionUse::Idle;
    }
    if (this->closing || state.gone) {
        this->closeIdle(state, context);
    }
}

void ConnectionKeeper::onClosed(TargetState &state, const ConnectionClosed &event, Context &context)
{
    const TargetConnection *connection = state.connection(event.connection);
    if (connection != nullptr && connection->use == ConnectionUse::Carrying) {
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

void ConnectionKeeper::probeSilent(TargetState &state, Context &context)
{
    if (this->closing || state.gone || !state.reportedAt
        || context.now - *state.reportedAt < reportAge) {
        return;
    }
    const bool probing = std::ranges::any_of(state.connections, [](const auto &connection) {
        return connection.use == ConnectionUse::Probing;
    });
    TargetConnection *idle = state.idleConnection();
    if (probing || idle == nullptr) {
        return;
    }
    idle->use = ConnectionUse::Probing;
    context.emit(ProbeTarget {idle->id, state.info.id});
}

} // namespace lagoondeck
