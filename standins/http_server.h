#pragma once

#include "standins/event_loop.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoondeck {

class HttpServer;

/// Headers of a reply, in order.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A completely received request.
struct ReceivedRequest
{
    Poco::Net::HTTPRequest head;
    std::string body;

    /// The path without its query.
    std::string path() const;
    std::string header(const std::string &name) const { return this->head.get(name, ""); }
};

/// An accepted connection. The reply can be sent at any later time; the next request of the
/// connection is handled after it.
class HttpConnection
{
public:
    HttpConnection(HttpServer &server, Poco::Net::StreamSocket socket, std::uint64_t number);

    std::uint64_t number() const { return this->connectionNumber; }
    void reply(int status, const HttpHeaders &headers, const std::string &body);
    /// Starts a chunked reply that stays open.
    void beginStream();
    void sendChunk(const std::string &text);
    /// Replies, then closes the connection when the client has closed it or after a short time.
    void replyAndClose(int status, const HttpHeaders &headers);
    void close();
    /// Never sends or handles anything again, like a connection that the network has lost.
    void silence() { this->silent = true; }
    /// Handles no request for the given time, to simulate the cost of setting up a connection.
    void delayRequests(Duration delay) { this->readyAt = EventLoop::now() + delay; }

private:
    friend class HttpServer;

    void onReady(int modes);
    void receive();
    void flush();
    void readRequests();
    /// Handles one complete request from the input. Returns false if there is none or it was
    /// malformed.
    bool readRequest();
    void readRequestsAfter(Duration delay);

    HttpServer &server;
    Poco::Net::StreamSocket socket;
    std::uint64_t connectionNumber;
    std::string input;
    std::string output;
    Instant readyAt {};
    /// True while a request waits for its reply.
    bool waiting = false;
    bool watchesWrite = false;
    bool refused = false;
    bool silent = false;
    bool closed = false;
};

/// Handlers for the connections of one port. All but onRequest may be empty.
struct HttpHandlers
{
    std::function<void(HttpConnection &, const ReceivedRequest &)> onRequest;
    /// Called for each new connection, which it may refuse.
    std::function<void(HttpConnection &)> onAccepted;
    std::function<void(HttpConnection &)> onClosed;
};

/// An HTTP/1.1 server on one port that runs in an EventLoop.
class HttpServer
{
public:
    HttpServer(EventLoop &loop, std::string address, HttpHandlers handlers);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Opens the port. Port 0 selects a free one, which later calls reuse.
    void listen();
    /// Closes the port and all connections at once, like a crash.
    void closeAll();
    /// Silences all open connections. New ones work.
    void silenceOpenConnections();
    bool isListening() const { return this->listening; }
    /// Returns the IP address and port.
    const std::string &boundAddress() const { return this->address; }
    /// Returns the connection, or nullptr if it is closed.
    std::shared_ptr<HttpConnection> find(std::uint64_t number) const;

private:
    friend class HttpConnection;

    void accept();
    void remove(HttpConnection &connection);

    EventLoop &loop;
    std::string address;
    HttpHandlers handlers;
    Poco::Net::ServerSocket listener;
    bool listening = false;
    std::uint64_t lastNumber = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<HttpConnection>> connections;
};

} // namespace lagoondeck
