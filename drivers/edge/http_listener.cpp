#include "drivers/edge/http_listener.h"

#include "core/errors.h"
#include "core/os/clock.h"
#include "logic/workload/connection_eviction.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <boost/leaf/error.hpp>
#include <cerrno>
#include <utility>
#include <vector>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr int backlog = 512;
/// The maximum number of connections accepted at once, so that existing connections are served in
/// between.
constexpr int maxAcceptsPerCall = 64;
/// When the bounds are met, one part in so many is freed at once, so that the search for the
/// connections to close is not repeated for each new one.
constexpr std::size_t partPerSearch = 32;
/// How long new connections are closed without another search after none could make room.
constexpr Duration noRoomTime = std::chrono::milliseconds(100);

bool isOutOfResources(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

} // namespace

HttpListener::HttpListener(EdgeLoop &loop, Limits limits, ServerConnection::Hooks hooks,
                           const ConnectionBounds &bounds)
    : loop(loop), limits(std::move(limits)), hooks(std::move(hooks)),
      maxConnections(bounds.connections), held(bounds.heldBytes)
{
    this->hooks.limits = [this] { return this->limits(); };
    this->hooks.onOverBudget = [this] { this->evictHolders(); };
    this->hooks.onClosed = [this](ServerConnection &connection) {
        const auto found = this->connections.find(connection.id());
        this->loop.deleteLater(std::move(found->second));
        this->connections.erase(found);
    };
}

HttpListener::~HttpListener()
{
    this->stopListening();
}

void HttpListener::stopListening()
{
    if (std::exchange(this->listening, false)) {
        this->loop.remove(this->socket);
        this->socket.close();
    }
}

bool HttpListener::stopUnlessWaiting()
{
    if (this->listening && this->socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
        this->acceptAll();
        return false;
    }
    this->stopListening();
    return true;
}

leaf::result<void> HttpListener::listen(const std::string &address)
{
    try {
        this->socket.bind(Poco::Net::SocketAddress(address), true);
        this->socket.listen(backlog);
        this->socket.setBlocking(false);
    } catch (const Poco::Exception &error) {
        return leaf::new_error(CallFailed {address, error.displayText(), false});
    }
    this->listening = true;
    this->loop.add(this->socket, Poco::Net::PollSet::POLL_READ, [this](int) { this->acceptAll(); });
    return {};
}

void HttpListener::acceptAll()
{
    try {
        for (int i = 0; i < maxAcceptsPerCall; ++i) {
            if (i > 0 && !this->socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
                return;
            }
            this->acceptOne();
        }
    } catch (const Poco::Exception &error) {
        // Otherwise the peer has already closed the connection.
        if (isOutOfResources(error.code())) {
            ++this->evicted.acceptFailures;
            this->replace(this->connections.size() / partPerSearch + 1, monotonicNow());
            this->pauseAccepting();
        }
    }
}

void HttpListener::acceptOne()
{
    Poco::Net::StreamSocket accepted = this->socket.acceptConnection();
    const Instant now = monotonicNow();
    if (this->connections.size() >= this->maxConnections
        && !this->replace(this->maxConnections / partPerSearch + 1, now)) {
        ++this->evicted.refused;
        return;
    }
    const std::uint64_t id = ++this->lastId;
    this->connections.emplace(id,
                              std::make_unique<ServerConnection>(this->loop, std::move(accepted),
                                                                 id, this->limits(), this->hooks,
                                                                 this->held, now));
}

void HttpListener::pauseAccepting()
{
    if (this->listening && !std::exchange(this->acceptingPaused, true)) {
        this->loop.update(this->socket, 0);
    }
}

void HttpListener::setMaxConnections(std::size_t count, Instant now)
{
    this->maxConnections = count;
    if (this->connections.size() > count) {
        this->replace(this->connections.size() - count, now);
    }
}

std::vector<ConnectionLoad> HttpListener::loads(Instant now) const
{
    std::vector<ConnectionLoad> loads;
    loads.reserve(this->connections.size());
    for (const auto &[id, connection] : this->connections) {
        loads.push_back(connection->load(now));
    }
    return loads;
}

bool HttpListener::replace(std::size_t count, Instant now)
{
    if (now < this->noRoomUntil) {
        return false;
    }
    bool replaced = false;
    for (const std::uint64_t id : ConnectionEviction::chooseReplaceable(this->loads(now), count)) {
        ServerConnection *connection = this->find(id);
        // A request that has arrived but was not read is served.
        if (connection != nullptr && !(connection->isIdle() && connection->hasUnreadInput())) {
            connection->close();
            ++this->evicted.replaced;
            replaced = true;
        }
    }
    if (!replaced) {
        this->noRoomUntil = now + noRoomTime;
    }
    return replaced;
}

void HttpListener::evictHolders()
{
    // Closing a connection may count bytes again.
    if (std::exchange(this->evicting, true)) {
        return;
    }
    const std::size_t excess = this->held.excess() + this->held.limitBytes() / partPerSearch;
    for (const std::uint64_t id :
         ConnectionEviction::chooseHolders(this->loads(monotonicNow()), excess)) {
        if (ServerConnection *connection = this->find(id)) {
            connection->evict();
            ++this->evicted.forMemory;
        }
    }
    this->evicting = false;
}

ServerConnection *HttpListener::find(std::uint64_t id)
{
    const auto found = this->connections.find(id);
    return found == this->connections.end() ? nullptr : found->second.get();
}

void HttpListener::checkTimeouts(Instant now)
{
    if (std::exchange(this->acceptingPaused, false) && this->listening) {
        this->loop.update(this->socket, Poco::Net::PollSet::POLL_READ);
    }
    const CallerLimits current = this->limits();
    std::vector<ServerConnection *> all;
    all.reserve(this->connections.size());
    for (const auto &[id, connection] : this->connections) {
        all.push_back(connection.get());
    }
    for (ServerConnection *connection : all) {
        connection->checkTimeouts(current, now);
    }
}

void HttpListener::closeUnused(Instant now)
{
    std::vector<ServerConnection *> idle;
    for (const auto &[id, connection] : this->connections) {
        if (connection->isIdle()) {
            idle.push_back(connection.get());
        }
    }
    for (ServerConnection *connection : idle) {
        connection->closeIfUnused(now);
    }
}

bool HttpListener::isQuiet() const
{
    return std::ranges::all_of(this->connections,
                               [](const auto &entry) { return entry.second->isQuiet(); });
}

ConnectionCounts HttpListener::counts() const
{
    ConnectionCounts counts;
    counts.open = this->connections.size();
    for (const auto &[id, connection] : this->connections) {
        counts.unsent += connection->hasUnsentOutput() ? 1 : 0;
        counts.unread += connection->hasUnreadInput() ? 1 : 0;
    }
    return counts;
}

} // namespace lagoondeck
