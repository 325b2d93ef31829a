#include "drivers/edge/http_listener.h"

#include "core/errors.h"
#include "core/os/clock.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <boost/leaf/error.hpp>
#include <utility>
#include <vector>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr int backlog = 512;
/// The maximum number of connections accepted at once, so that existing connections are served in
/// between.
constexpr int maxAcceptsPerCall = 64;

} // namespace

HttpListener::HttpListener(EdgeLoop &loop, Limits limits, ServerConnection::Hooks hooks)
    : loop(loop), limits(std::move(limits)), hooks(std::move(hooks))
{
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
            Poco::Net::StreamSocket accepted = this->socket.acceptConnection();
            const std::uint64_t id = ++this->lastId;
            this->connections.emplace(id,
                                      std::make_unique<ServerConnection>(
                                              this->loop, std::move(accepted), id, this->limits(),
                                              this->hooks, monotonicNow()));
        }
    } catch (const Poco::Exception &) {
        // Either the peer has already closed the connection, or no file descriptor is free; then
        // the next call fails as well.
    }
}

ServerConnection *HttpListener::find(std::uint64_t id)
{
    const auto found = this->connections.find(id);
    return found == this->connections.end() ? nullptr : found->second.get();
}

void HttpListener::checkTimeouts(Instant now)
{
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
