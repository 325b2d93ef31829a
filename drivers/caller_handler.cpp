#include "drivers/caller_handler.h"

#include "core/errors.h"
#include "drivers/caller_codec.h"
#include "drivers/pending_answers.h"
#include "drivers/step_guard.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <string>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

namespace {

constexpr std::string_view queryPrefix = "/v1/queries/";
constexpr std::size_t readSize = 16 * 1024;
constexpr const char *noSuchPage = R"({"reason":"no-such-page"})";

/// Counts a request as active during the lifetime of this object.
class ActiveRequestGuard
{
public:
    explicit ActiveRequestGuard(std::atomic<std::uint32_t> &count) : count(count) { ++this->count; }
    ~ActiveRequestGuard() { --this->count; }
    ActiveRequestGuard(const ActiveRequestGuard &) = delete;
    ActiveRequestGuard &operator=(const ActiveRequestGuard &) = delete;

private:
    std::atomic<std::uint32_t> &count;
};

/// Limits the total time for reading a body, so that a caller that keeps sending slowly is refused
/// too.
constexpr Duration bodyReadTimeout = std::chrono::seconds(10);

/// Limits, in bytes and in time, how much of a refused body is still read.
constexpr std::streamsize maxDiscardedBytes = 2 * 1024 * 1024;
constexpr Duration discardTimeout = std::chrono::seconds(1);

/// Result of reading a body.
enum class BodyReadResult {
    Complete,
    TooLong,
    TooSlow,
};

/// Reads the body within a limit of bytes and of time. A request with neither a content length nor
/// chunked encoding is taken to have no body: waiting for the end of the connection would block a
/// thread.
BodyReadResult readBody(HTTPServerRequest &request, std::uint64_t maxBytes, std::string &body)
{
    if (!request.hasContentLength() && !request.getChunkedTransferEncoding()) {
        return BodyReadResult::Complete;
    }
    const std::int64_t contentLength =
            request.hasContentLength() ? request.getContentLength64() : 0;
    if (contentLength < 0) {
        throw Poco::SyntaxException("the content length is negative");
    }
    if (static_cast<std::uint64_t>(contentLength) > maxBytes) {
        return BodyReadResult::TooLong;
    }
    const auto deadline = std::chrono::steady_clock::now() + bodyReadTimeout;
    std::string chunk(readSize, '\0');
    std::istream &stream = request.stream();
    // peek() blocks until one read of the socket returns; readsome() then takes the bytes of that
    // read only.
    while (stream.peek() != std::char_traits<char>::eof()) {
        const auto count =
                stream.readsome(chunk.data(), static_cast<std::streamsize>(chunk.size()));
        body.append(chunk, 0, static_cast<std::size_t>(count));
        if (body.size() > maxBytes) {
            return BodyReadResult::TooLong;
        }
        if (std::chrono::steady_clock::now() > deadline) {
            return BodyReadResult::TooSlow;
        }
    }
    return BodyReadResult::Complete;
}

/// Reads and discards part of a refused body. Closing a connection with unread bytes resets it, and
/// a caller that is still sending would never see the reason for the refusal.
void discardBody(HTTPServerRequest &request)
{
    const auto deadline = std::chrono::steady_clock::now() + discardTimeout;
    std::string chunk(readSize, '\0');
    std::istream &stream = request.stream();
    std::streamsize discarded = 0;
    while (discarded < maxDiscardedBytes && std::chrono::steady_clock::now() < deadline
           && stream.peek() != std::char_traits<char>::eof()) {
        discarded += stream.readsome(chunk.data(), static_cast<std::streamsize>(chunk.size()));
    }
}

} // namespace

CallerHandler::CallerHandler(PendingAnswers &pending, const CallerServerHooks &hooks,
                             std::atomic<std::uint32_t> &activeRequests, StepGuard &guard,
                             std::uint64_t maximumBodyBytes)
    : pending(pending), hooks(hooks), activeRequests(activeRequests), guard(guard),
      maximumBodyBytes(maximumBodyBytes)
{ }

void CallerHandler::handleRequest(HTTPServerRequest &request, HTTPServerResponse &response)
{
    const ActiveRequestGuard activeRequest(this->activeRequests);
    if (!this->guard.run([&] { this->handleOrRefuse(request, response); })) {
        this->guard.run([&] {
            response.setKeepAlive(false);
            if (!response.sent()) {
                this->reply(response, HTTPResponse::HTTP_INTERNAL_SERVER_ERROR, "{}");
            }
        });
    }
}

void CallerHandler::handleOrRefuse(HTTPServerRequest &request, HTTPServerResponse &response)
{
    try {
        this->route(request, response);
    } catch (const Poco::SyntaxException &) {
        this->refuseMalformed(response, "the request line or a header can't be read");
    } catch (const Poco::Exception &) {
        // The caller disconnected while its request was read or answered; the query itself
        // continues.
        response.setKeepAlive(false);
    }
}

/// Closes the connection after the reply, because the rest of a malformed request can't be
/// distinguished from the next request.
void CallerHandler::refuseMalformed(HTTPServerResponse &response, const std::string &detail)
{
    response.setKeepAlive(false);
    this->reply(response, HTTPResponse::HTTP_BAD_REQUEST,
                writeBadRequest({{"", FieldProblemKind::BadFormat, detail}}));
}

void CallerHandler::route(HTTPServerRequest &request, HTTPServerResponse &response)
{
    const std::string path = Poco::URI(request.getURI()).getPath();
    const bool post = request.getMethod() == Poco::Net::HTTPRequest::HTTP_POST;
    if (post && path.starts_with(queryPrefix)) {
        this->query(path.substr(queryPrefix.size()), request, response);
    } else if (post && path == "/v1/drain") {
        this->drain(response);
    } else if (path == "/v1/health") {
        this->reply(response, HTTPResponse::HTTP_OK, "{}");
    } else if (path == "/v1/ready") {
        const bool ready = this->hooks.isReady();
        this->reply(response,
                    ready ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "{}");
    } else if (path == "/v1/status") {
        this->reply(response, HTTPResponse::HTTP_OK, this->hooks.statusJson());
    } else if (path == "/metrics") {
        this->reply(response, HTTPResponse::HTTP_OK, this->hooks.metricsText(),
                    "text/plain; version=0.0.4");
    } else {
        this->reply(response, HTTPResponse::HTTP_NOT_FOUND, noSuchPage);
    }
}

void CallerHandler::query(const std::string &entry, HTTPServerRequest &request,
                          HTTPServerResponse &response)
{
    std::string body;
    const BodyReadResult readResult = readBody(request, this->maximumBodyBytes, body);
    if (readResult != BodyReadResult::Complete) {
        response.setKeepAlive(false);
        const bool tooSlow = readResult == BodyReadResult::TooSlow;
        if (!tooSlow) {
            discardBody(request);
        }
        this->reply(response,
                    tooSlow ? HTTPResponse::HTTP_REQUEST_TIMEOUT
                            : HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE,
                    writeBadRequest({{"body", FieldProblemKind::OutOfRange,
                                      tooSlow ? "sent too slowly" : "too long"}}));
        return;
    }
    leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(parsed, parseCallerRequest(body));
                this->runQuery(std::move(parsed), entry, response);
                return {};
            },
            [&](const InvalidInput &invalid) {
                this->reply(response, HTTPResponse::HTTP_BAD_REQUEST,
                            writeBadRequest(invalid.problems));
            },
            [&](const MalformedInput &malformed) {
                this->refuseMalformed(response, malformed.detail);
            },
            [&] { this->reply(response, HTTPResponse::HTTP_BAD_REQUEST, writeBadRequest({})); });
}

void CallerHandler::runQuery(CallerRequest parsed, const std::string &entry,
                             HTTPServerResponse &response)
{
    PendingAnswers::Ticket ticket = this->pending.open();
    const RequestId requestId = parsed.requestId;
    parsed.query = ticket.query;
    parsed.entry = EntryName(entry);
    this->hooks.post(std::move(parsed));
    const Answer answer = ticket.answer.get();
    if (answer.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(answer.retryAfter);
        response.set("Retry-After", std::to_string(seconds.count()));
    }
    this->reply(response, httpStatusOf(answer), writeAnswer(requestId, answer));
}

void CallerHandler::drain(HTTPServerResponse &response)
{
    this->hooks.post(StopRequested {});
    this->reply(response, HTTPResponse::HTTP_ACCEPTED, "{}");
}

void CallerHandler::reply(HTTPServerResponse &response, int status, const std::string &body,
                          const std::string &type)
{
    response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(status));
    response.setContentType(type);
    response.setContentLength(static_cast<std::streamsize>(body.size()));
    if (this->hooks.isStopping()) {
        response.setKeepAlive(false);
    }
    response.sendBuffer(body.data(), body.size());
}

} // namespace lagoondeck
