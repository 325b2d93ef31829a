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

/// One whole request.
struct ReceivedRequest
{
    Poco::Net::HTTPRequest head;
    std::string body;

    /// The path without its query.
    std::string path() const;
    std::string header(const std::string &name) const { return this->head.get(name, ""); }
};

/// One accepted connection. A reply may come at any later time; the next request of the
/// connection is read after it.
class HttpConnection
{
public:
    HttpConnection(HttpServer &server, Poco::Net::StreamSocket socket, std::uint64_t number);

    std::uint64_t number() const { return this->ownNumber; }
    void reply(int status, const HttpHeaders &headers, const std::string &body);
    /// Begins a chunked reply that stays open.
    void beginStream();
    void sendChunk(const std::string &text);
    /// Replies, then closes when the other side has closed or a short time has passed.
    void replyAndClose(int status, const HttpHeaders &headers);
    void close();
    /// Reads no request for a while: the set-up cost of the connection.
    void delayRequests(Duration delay) { this->readyAt = EventLoop::now() + delay; }

private:
    friend class HttpServer;

    void onReady(int modes);
    void receive();
    void flush();
    void readRequests();
    /// Takes one whole request from the input; says whether there may be another.
    bool readRequest();
    void readRequestsAfter(Duration delay);

    HttpServer &server;
    Poco::Net::StreamSocket socket;
    std::uint64_t ownNumber;
    std::string input;
    std::string output;
    Instant readyAt {};
    /// True from a request's arrival to its reply.
    bool waiting = false;
    bool writeWatched = false;
    bool refused = false;
    bool closed = false;
};

/// What a stand-in does with the connections of one port. All but onRequest may be left empty.
struct HttpHandlers
{
    std::function<void(HttpConnection &, const ReceivedRequest &)> onRequest;
    /// Called on each new connection; it may refuse it.
    std::function<void(HttpConnection &)> onAccepted;
    std::function<void(HttpConnection &)> onClosed;
};

/// A port that speaks HTTP/1.1 inside an EventLoop.
class HttpServer
{
public:
    HttpServer(EventLoop &loop, std::string address, HttpHandlers handlers);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Opens the port; port 0 takes a free one and keeps it.
    void listen();
    /// Closes the port and every connection at once, as a crash does.
    void closeAll();
    bool isListening() const { return this->listening; }
    /// IP number and port.
    const std::string &boundAddress() const { return this->address; }
    /// The connection while it is open.
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
