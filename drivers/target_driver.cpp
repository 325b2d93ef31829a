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

void TargetDriver::removeIfClosed(ConnectionId connection)
{
    const auto found = this->connections.find(connection);
    if (found != this->connections.end() && found->second->isClosed()) {
        this->connectionsBySocket.erase(found->second->pollSocket().impl());
        this->connections.erase(found);
    }
}

void TargetDriver::open(const OpenConnection &effect, Instant now)
{
    auto connection = std::make_unique<TargetConnectionDriver>(this->pollSet, effect,
                                                               this->instance, this->sink, now);
    if (!connection->isClosed()) {
        this->connectionsBySocket.emplace(connection->pollSocket().impl(), effect.connection);
        this->connections.emplace(effect.connection, std::move(connection));
    }
}

void TargetDriver::close(const CloseConnection &effect)
{
    if (TargetConnectionDriver *connection = this->find(effect.connection)) {
        connection->end(ConnectionEnd::ClosedByUs);
        this->removeIfClosed(effect.connection);
    }
}

void TargetDriver::send(const SendSubRequest &effect, Instant now)
{
    TargetConnectionDriver *connection = this->find(effect.connection);
    if (connection != nullptr && now <= effect.notAfter) {
        connection->send(effect, now);
        this->removeIfClosed(effect.connection);
    } else if (connection != nullptr) {
        // The process was paused after the reducer decided to send.
        connection->closeWithoutSending(effect.attempt);
        this->removeIfClosed(effect.connection);
    } else {
        // The connection ended after the reducer chose it. The event that reports its end is queued
        // but names no attempt, so the end of this attempt is reported here.
        this->sink(ConnectionClosed {effect.connection, effect.target, ConnectionEnd::Lost,
                                     effect.attempt, false});
    }
}

void TargetDriver::cancel(const CancelSubRequest &effect, Instant now)
{
    TargetConnectionDriver *attemptConnection = this->find(effect.connection);
    TargetConnectionDriver *cancelConnection =
            effect.cancelConnection ? this->find(*effect.cancelConnection) : nullptr;
    if (cancelConnection != nullptr) {
        cancelConnection->sendCancellation(effect.attempt, now);
        this->removeIfClosed(*effect.cancelConnection);
    }
    if (attemptConnection == nullptr || !attemptConnection->isCarrying(effect.attempt)) {
        return;
    }
    if (cancelConnection != nullptr) {
        attemptConnection->shortenReplyTimeout(now);
    } else {
        attemptConnection->end(ConnectionEnd::ClosedByUs);
        this->removeIfClosed(effect.connection);
    }
}

void TargetDriver::probe(const ProbeTarget &effect, Instant now)
{
    if (TargetConnectionDriver *connection = this->find(effect.connection)) {
        connection->sendHealthCheck(now);
        this->removeIfClosed(effect.connection);
    }
}

bool TargetDriver::onReady(const Poco::Net::Socket &socket, int mode, Instant)
{
    const auto found = this->connectionsBySocket.find(socket.impl());
    if (found == this->connectionsBySocket.end()) {
        return false;
    }
    const ConnectionId id = found->second;
    this->find(id)->onReady(mode);
    this->removeIfClosed(id);
    return true;
}

void TargetDriver::closeTimedOut(Instant now)
{
    std::vector<ConnectionId> closedConnections;
    for (auto &[id, connection] : this->connections) {
        connection->closeIfTimedOut(now);
        if (connection->isClosed()) {
            closedConnections.push_back(id);
        }
    }
    for (const ConnectionId id : closedConnections) {
        this->removeIfClosed(id);
    }
}

} // namespace lagoondeck
