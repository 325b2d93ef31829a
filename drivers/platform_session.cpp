#include "drivers/platform_session.h"

#include "core/errors.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <boost/leaf/error.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

/// Longer replies and lines are refused, so that a faulty service can't exhaust the memory.
constexpr std::size_t maximumReplyBytes = 64 * 1024 * 1024;
constexpr std::size_t readBufferBytes = 16 * 1024;
/// The service may have dropped a connection that was idle for longer.
constexpr int keepAliveSeconds = 3600;
/// TCP keepalive probes, by which a waiting stream detects that its service is unreachable.
constexpr int probeIdleSeconds = 3;
constexpr int probeIntervalSeconds = 1;
constexpr int probeCount = 3;

Poco::Timespan toTimespan(Duration duration)
{
    return {0, std::max<Poco::Timespan::TimeDiff>(duration.count(), 1000)};
}

} // namespace

/// A client session that never resends a request and records whether any byte was sent.
class PlatformConnection : public Poco::Net::HTTPClientSession
{
public:
    PlatformConnection(const Poco::Net::SocketAddress &address,
                       const Poco::Net::StreamSocket &socket)
        : Poco::Net::HTTPClientSession(address)
    {
        this->attachSocket(socket);
        this->setKeepAlive(true);
        this->setKeepAliveTimeout(Poco::Timespan(keepAliveSeconds, 0));
    }

    void beginRequest() { this->anyBytesWritten = false; }
    bool hasWrittenBytes() const { return this->anyBytesWritten; }

    /// Returns whether the peer has closed this idle connection: only then is it readable.
    bool isStale()
    {
        return this->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    }

    Poco::Net::HTTPResponse response;

protected:
    int write(const char *buffer, std::streamsize length) override
    {
        const int count = Poco::Net::HTTPSession::write(buffer, length);
        this->anyBytesWritten = this->anyBytesWritten || count > 0;
        return count;
    }

private:
    bool anyBytesWritten = false;
};

namespace {

/// Reads a whole body. Returns nothing when it is longer than allowed or its size differs from the
/// content length.
std::optional<std::string> readBody(std::istream &stream, std::streamsize contentLength)
{
    std::string body;
    std::array<char, readBufferBytes> buffer;
    std::streamsize count = 0;
    while ((count = stream.rdbuf()->sgetn(buffer.data(), buffer.size())) > 0) {
        body.append(buffer.data(), static_cast<std::size_t>(count));
        if (body.size() > maximumReplyBytes) {
            return std::nullopt;
        }
    }
    const bool truncated =
            contentLength >= 0 && body.size() != static_cast<std::size_t>(contentLength);
    return truncated ? std::nullopt : std::optional(std::move(body));
}

/// Reads up to the end of a line. Returns nothing at the end of the stream or when the line is too
/// long.
std::optional<std::string> readLine(std::streambuf &buffer)
{
    std::string line;
    for (int c = buffer.sbumpc(); c != std::char_traits<char>::eof(); c = buffer.sbumpc()) {
        if (c == '\n') {
            return line;
        }
        line.push_back(static_cast<char>(c));
        if (line.size() > maximumReplyBytes) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

void setSocketOptions(Poco::Net::StreamSocket &socket)
{
    socket.setNoDelay(true);
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, probeIdleSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, probeCount);
}

} // namespace

PlatformSession::PlatformSession(std::string address) : peerAddress(std::move(address)) { }

PlatformSession::~PlatformSession() = default;

void PlatformSession::interrupt()
{
    this->interrupter.interrupt();
}

void PlatformSession::disconnect()
{
    this->interrupter.disarm();
    this->connection.reset();
}

/// Returns the error of a failed call and closes the connection, which may still hold the rest of a
/// reply.
leaf::error_id PlatformSession::closeWithError(const std::string &detail)
{
    const bool mayHaveTakenEffect =
            this->connection != nullptr && this->connection->hasWrittenBytes();
    this->disconnect();
    return leaf::new_error(CallFailed {this->peerAddress, detail, mayHaveTakenEffect});
}

leaf::result<void> PlatformSession::connect(Duration timeout)
{
    if (this->interrupter.isInterrupted()) {
        return this->closeWithError("the session was interrupted");
    }
    try {
        if (this->connection != nullptr && this->connection->isStale()) {
            this->disconnect();
        }
        if (this->connection == nullptr) {
            const Poco::Net::SocketAddress address(this->peerAddress);
            Poco::Net::StreamSocket socket;
            socket.connect(address, toTimespan(timeout));
            setSocketOptions(socket);
            this->connection = std::make_unique<PlatformConnection>(address, socket);
            if (!this->interrupter.arm(socket.impl()->sockfd())) {
                return this->closeWithError("the session was interrupted");
            }
        }
        this->connection->beginRequest();
        return {};
    } catch (const Poco::Exception &error) {
        this->disconnect();
        return this->closeWithError(error.displayText());
    }
}

std::istream &PlatformSession::send(const PlatformRequest &request, int &status)
{
    Poco::Net::HTTPRequest head(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
    head.setKeepAlive(true);
    if (request.method != "GET") {
        head.setContentType("application/json");
        head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    }
    std::ostream &out = this->connection->sendRequest(head);
    out << request.body << std::flush;
    if (!out.good()) {
        throw Poco::IOException("the request could not be sent");
    }
    this->connection->response.clear();
    std::istream &in = this->connection->receiveResponse(this->connection->response);
    status = this->connection->response.getStatus();
    return in;
}

leaf::result<PlatformReply> PlatformSession::call(const PlatformRequest &request, Duration timeout)
{
    const auto started = std::chrono::steady_clock::now();
    BOOST_LEAF_CHECK(this->connect(timeout));
    const auto elapsed = std::chrono::steady_clock::now() - started;
    const auto remaining = std::chrono::duration_cast<Duration>(timeout - elapsed);
    try {
        this->connection->socket().setSendTimeout(toTimespan(remaining));
        this->connection->socket().setReceiveTimeout(toTimespan(remaining));
        PlatformReply reply;
        std::istream &in = this->send(request, reply.status);
        const Poco::Net::HTTPResponse &response = this->connection->response;
        auto body = readBody(in, response.hasContentLength() ? response.getContentLength() : -1);
        if (!body) {
            return this->closeWithError("the reply was truncated or too long");
        }
        reply.body = std::move(*body);
        if (!response.getKeepAlive()) {
            this->disconnect();
        }
        return reply;
    } catch (const Poco::Exception &error) {
        return this->closeWithError(error.displayText());
    } catch (...) {
        // The connection may still hold the rest of a reply.
        this->disconnect();
        throw;
    }
}

leaf::result<void> PlatformSession::stream(const PlatformRequest &request, Duration timeout,
                                           const std::function<bool(std::string_view)> &onLine)
{
    BOOST_LEAF_CHECK(this->connect(timeout));
    try {
        this->connection->socket().setSendTimeout(toTimespan(timeout));
        this->connection->socket().setReceiveTimeout(Poco::Timespan(0));
        int status = 0;
        std::istream &in = this->send(request, status);
        if (status != Poco::Net::HTTPResponse::HTTP_OK) {
            return this->closeWithError("status " + std::to_string(status));
        }
        while (auto line = readLine(*in.rdbuf())) {
            if (!onLine(*line)) {
                this->disconnect();
                return {};
            }
        }
        return this->closeWithError("the stream ended");
    } catch (const Poco::Exception &error) {
        return this->closeWithError(error.displayText());
    } catch (...) {
        // The connection may still hold the rest of a reply.
        this->disconnect();
        throw;
    }
}

} // namespace lagoondeck
