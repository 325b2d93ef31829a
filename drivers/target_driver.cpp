#include "drivers/target_driver.h"

#include "drivers/target_connection_driver.h"

#include <utility>
#include <vector>

namespace lagoondeck {

TargetDriver::TargetDriver(Poco::Net::PollSet &pollSet, InstanceId instance, Sink sink)
    : pollSet(pollSet), instance(std::move(instance)), sink(std::move(sink))
{ }

TargetDriver::~TargetDriver() = default;

TargetConnectionDriver *TargetDriver::find(ConnectionId connection)
{
    const auto found = this->connections.find(connection);
    return found == this->connections.end() ? nullptr : found->second.get();
}

void TargetDriver::dropClosed(ConnectionId connection)
{
    const auto found = this->connections.find(connection);
    if (found != this->connections.end() && found->second->closed()) {
        this->bySocket.erase(found->second->pollSocket().impl());
        this->connections.erase(found);
    }
}

void TargetDriver::open(const OpenConnection &effect, Instant now)
{
    auto connection = std::make_unique<TargetConnectionDriver>(this->pollSet, effect,
                                                               this->instance, this->sink, now);
    if (!connection->closed()) {
        this->bySocket.emplace(connection->pollSocket().impl(), effect.connection);
        this->connections.emplace(effect.connection, std::move(connection));
    }
}

void TargetDriver::close(const CloseConnection &effect)
{
    if (TargetConnectionDriver *connection = this->find(effect.connection)) {
        connection->end(ConnectionEnd::ClosedByUs);
        this->dropClosed(effect.connection);
    }
}

void TargetDriver::send(const SendSubRequest &effect, Instant now)
{
    TargetConnectionDriver *connection = this->find(effect.connection);
    if (connection != nullptr && now <= effect.notAfter) {
        connection->send(effect, now);
        this->dropClosed(effect.connection);
    } else if (connection != nullptr) {
        // The process was paused since it decided to send.
        connection->refuse(effect.attempt);
        this->dropClosed(effect.connection);
    } else {
        // It ended after the reducer chose it; the event of that end is on its way and named no
        // attempt.
        this->sink(ConnectionClosed {effect.connection, effect.target, ConnectionEnd::Lost,
                                     effect.attempt, false});
    }
}

void TargetDriver::cancel(const CancelSubRequest &effect, Instant now)
{
    TargetConnectionDriver *carrier = this->find(effect.connection);
    TargetConnectionDriver *via = effect.via ? this->find(*effect.via) : nullptr;
    if (via != nullptr) {
        via->sendCancellation(effect.attempt, now);
        this->dropClosed(*effect.via);
    }
    if (carrier == nullptr || !carrier->carries(effect.attempt)) {
        return;
    }
    if (via != nullptr) {
        carrier->expectReplySoon(now);
    } else {
        carrier->end(ConnectionEnd::ClosedByUs);
        this->dropClosed(effect.connection);
    }
}

void TargetDriver::probe(const ProbeTarget &effect, Instant now)
{
    if (TargetConnectionDriver *connection = this->find(effect.connection)) {
        connection->sendHealthCheck(now);
        this->dropClosed(effect.connection);
    }
}

bool TargetDriver::onReady(const Poco::Net::Socket &socket, int mode, Instant)
{
    const auto found = this->bySocket.find(socket.impl());
    if (found == this->bySocket.end()) {
        return false;
    }
    const ConnectionId id = found->second;
    this->find(id)->onReady(mode);
    this->dropClosed(id);
    return true;
}

void TargetDriver::closeSilent(Instant now)
{
    std::vector<ConnectionId> closed;
    for (auto &[id, connection] : this->connections) {
        connection->closeIfSilent(now);
        if (connection->closed()) {
            closed.push_back(id);
        }
    }
    for (const ConnectionId id : closed) {
        this->dropClosed(id);
    }
}

} // namespace lagoondeck
