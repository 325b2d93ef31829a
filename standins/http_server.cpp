#include "standins/http_server.h"

#include "core/os/socket_output.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <array>
#include <sstream>

namespace lagoondeck {

using Poco::Net::PollSet;

namespace {

constexpr int listenBacklog = 256;
constexpr std::size_t readSize = 16384;
constexpr std::size_t maxRequestSize = 32 * 1024 * 1024;
/// How long a refused connection stays open, so that the client reads the reply before the reset.
constexpr Duration refusalLinger = std::chrono::milliseconds(200);

std::string writeHead(int status, const HttpHeaders &headers)
{
    Poco::Net::HTTPResponse head(Poco::Net::HTTPMessage::HTTP_1_1,
                                 static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    for (const auto &[name, value] : headers) {
        head.set(name, value);
    }
    std::ostringstream text;
    head.write(text);
    return text.str();
}

} // namespace

std::string ReceivedRequest::path() const
{
    const std::string &uri = this->head.getURI();
    return uri.substr(0, uri.find('?'));
}

HttpConnection::HttpConnection(HttpServer &server, Poco::Net::StreamSocket socket,
                               std::uint64_t number)
    : server(server), socket(std::move(socket)), connectionNumber(number)
{ }

void HttpConnection::reply(int status, const HttpHeaders &headers, const std::string &body)
{
    HttpHeaders all = headers;
    all.emplace_back("Content-Length", std::to_string(body.size()));
    this->output += writeHead(status, all) + body;
    this->waiting = false;
    this->flush();
    if (!this->closed && !this->input.empty()) {
        this->readRequestsAfter(Duration(0));
    }
}

void HttpConnection::beginStream()
{
    this->output += writeHead(200, {{"Transfer-Encoding", "chunked"}});
    this->flush();
}

void HttpConnection::sendChunk(const std::string &text)
{
    std::ostringstream chunk;
    chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
    this->output += chunk.str();
    this->flush();
}

void HttpConnection::replyAndClose(int status, const HttpHeaders &headers)
{
    HttpHeaders all = headers;
    all.emplace_back("Connection", "close");
    this->refused = true;
    this->input.clear();
    this->reply(status, all, "");
    if (this->closed) {
        return;
    }
    try {
        this->socket.shutdownSend();
    } catch (const Poco::Exception &) {
        this->close();
        return;
    }
    this->server.loop.after(refusalLinger,
                            [&server = this->server, number = this->connectionNumber] {
                                if (const auto connection = server.find(number)) {
                                    connection->close();
                                }
                            });
}

void HttpConnection::close()
{
    if (!this->closed) {
        this->closed = true;
        this->server.remove(*this);
    }
}

void HttpConnection::onReady(int modes)
{
    if ((modes & (PollSet::POLL_READ | PollSet::POLL_ERROR)) != 0) {
        this->receive();
    }
    if (!this->closed && (modes & PollSet::POLL_WRITE) != 0) {
        this->flush();
    }
}

void HttpConnection::receive()
{
    std::array<char, readSize> buffer;
    int count = 0;
    try {
        count = this->socket.receiveBytes(buffer.data(), buffer.size());
    } catch (const Poco::Exception &) {
        this->close();
        return;
    }
    if (count < 0) {
        return;
    }
    if (count == 0 || this->input.size() > maxRequestSize) {
        this->close();
        return;
    }
    if (!this->refused && !this->silent) {
        this->input.append(buffer.data(), static_cast<std::size_t>(count));
        this->readRequests();
    }
}

void HttpConnection::flush()
{
    if (this->silent) {
        return;
    }
    std::size_t sent = 0;
    try {
        while (sent < this->output.size()) {
            const std::size_t count = sendAvailable(this->socket, this->output.data() + sent,
                                                    this->output.size() - sent);
            if (count == 0) {
                break;
            }
            sent += count;
        }
    } catch (const Poco::Exception &) {
        this->close();
        return;
    }
    const bool hasUnsentOutput = sent < this->output.size();
    this->output.erase(0, sent);
    if (hasUnsentOutput != this->watchesWrite) {
        this->watchesWrite = hasUnsentOutput;
        this->server.loop.setModes(
                this->socket, PollSet::POLL_READ | (hasUnsentOutput ? PollSet::POLL_WRITE : 0));
    }
}

void HttpConnection::readRequests()
{
    if (const Duration left = this->readyAt - EventLoop::now(); left > Duration(0)) {
        this->readRequestsAfter(left);
        return;
    }
    while (!this->closed && !this->waiting && this->readRequest()) { }
}

bool HttpConnection::readRequest()
{
    const std::size_t headEnd = this->input.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        return false;
    }
    const std::size_t headSize = headEnd + 4;
    ReceivedRequest message;
    try {
        std::istringstream head(this->input.substr(0, headSize));
        message.head.read(head);
    } catch (const Poco::Exception &) {
        this->replyAndClose(400, {});
        return false;
    }
    const auto length = message.head.getContentLength64();
    const std::size_t bodySize = length > 0 ? static_cast<std::size_t>(length) : 0;
    if (this->input.size() < headSize + bodySize) {
        return false;
    }
    message.body = this->input.substr(headSize, bodySize);
    this->input.erase(0, headSize + bodySize);
    this->waiting = true;
    this->server.handlers.onRequest(*this, message);
    return true;
}

void HttpConnection::readRequestsAfter(Duration delay)
{
    this->server.loop.after(delay, [&server = this->server, number = this->connectionNumber] {
        if (const auto connection = server.find(number)) {
            connection->readRequests();
        }
    });
}

HttpServer::HttpServer(EventLoop &loop, std::string address, HttpHandlers handlers)
    : loop(loop), address(std::move(address)), handlers(std::move(handlers))
{ }

HttpServer::~HttpServer()
{
    // The owner of the handler may already be partly destroyed.
    this->handlers.onClosed = nullptr;
    this->closeAll();
}

void HttpServer::listen()
{
    if (this->listening) {
        return;
    }
    this->listener = Poco::Net::ServerSocket();
    // The port is not shared, so that binding fails if a stand-in of an earlier run still listens.
    this->listener.bind(Poco::Net::SocketAddress(this->address), true, false);
    this->listener.listen(listenBacklog);
    this->address = this->listener.address().toString();
    this->loop.watch(this->listener, PollSet::POLL_READ, [this](int) { this->accept(); });
    this->listening = true;
}

void HttpServer::closeAll()
{
    if (this->listening) {
        this->listening = false;
        this->loop.unwatch(this->listener);
        this->listener.close();
    }
    while (!this->connections.empty()) {
        const auto connection = this->connections.begin()->second;
        connection->close();
    }
}

std::shared_ptr<HttpConnection> HttpServer::find(std::uint64_t number) const
{
    const auto found = this->connections.find(number);
    return found == this->connections.end() ? nullptr : found->second;
}

void HttpServer::silenceOpenConnections()
{
    for (const auto &[number, connection] : this->connections) {
        connection->silence();
    }
}

void HttpServer::accept()
{
    Poco::Net::StreamSocket socket;
    try {
        socket = this->listener.acceptConnection();
        socket.setBlocking(false);
        socket.setNoDelay(true);
    } catch (const Poco::Exception &) {
        return;
    }
    const auto connection = std::make_shared<HttpConnection>(*this, socket, ++this->lastNumber);
    this->connections.emplace(connection->number(), connection);
    this->loop.watch(socket, PollSet::POLL_READ, [weak = std::weak_ptr(connection)](int modes) {
        if (const auto ready = weak.lock()) {
            ready->onReady(modes);
        }
    });
    if (this->handlers.onAccepted) {
        this->handlers.onAccepted(*connection);
    }
}

void HttpServer::remove(HttpConnection &connection)
{
    const auto found = this->connections.find(connection.number());
    if (found == this->connections.end()) {
        return;
    }
    const std::shared_ptr<HttpConnection> removed = found->second;
    this->connections.erase(found);
    this->loop.unwatch(removed->socket);
    removed->socket.close();
    if (this->handlers.onClosed) {
        this->handlers.onClosed(*removed);
    }
}

} // namespace lagoondeck
