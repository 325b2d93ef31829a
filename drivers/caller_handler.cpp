#include "drivers/caller_handler.h"

#include "core/errors.h"
#include "drivers/caller_codec.h"
#include "drivers/pending_answers.h"

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

/// Counts a request as active for as long as it lives.
class ActiveGuard
{
public:
    explicit ActiveGuard(std::atomic<std::uint32_t> &count) : count(count) { ++this->count; }
    ~ActiveGuard() { --this->count; }
    ActiveGuard(const ActiveGuard &) = delete;
    ActiveGuard &operator=(const ActiveGuard &) = delete;

private:
    std::atomic<std::uint32_t> &count;
};

/// A caller that has not sent its body by then is refused, however steadily it sends.
constexpr Duration bodyBound = std::chrono::seconds(10);

/// How much of a refused body is still read, in bytes and in time.
constexpr std::streamsize mostDiscarded = 2 * 1024 * 1024;
constexpr Duration discardBound = std::chrono::seconds(1);

/// How the reading of a body ended.
enum class BodyEnd {
    Whole,
    TooLong,
    TooSlow,
};

/// Reads the body up to a bound of bytes and of time. Without a length there is none: waiting for
/// the end of the connection would hold a thread.
BodyEnd readBody(HTTPServerRequest &request, std::uint64_t bound, std::string &body)
{
    if (!request.hasContentLength() && !request.getChunkedTransferEncoding()) {
        return BodyEnd::Whole;
    }
    const std::int64_t announced = request.hasContentLength() ? request.getContentLength64() : 0;
    if (announced < 0) {
        throw Poco::SyntaxException("the content length is negative");
    }
    if (static_cast<std::uint64_t>(announced) > bound) {
        return BodyEnd::TooLong;
    }
    const auto giveUpAt = std::chrono::steady_clock::now() + bodyBound;
    std::string chunk(readSize, '\0');
    std::istream &stream = request.stream();
    // One wait brings what one read of the socket brought.
    while (stream.peek() != std::char_traits<char>::eof()) {
        const auto count =
                stream.readsome(chunk.data(), static_cast<std::streamsize>(chunk.size()));
        body.append(chunk, 0, static_cast<std::size_t>(count));
        if (body.size() > bound) {
            return BodyEnd::TooLong;
        }
        if (std::chrono::steady_clock::now() > giveUpAt) {
            return BodyEnd::TooSlow;
        }
    }
    return BodyEnd::Whole;
}

/// Takes in some of a body that is refused. A connection that is closed with bytes unread is reset,
/// and a caller that still sends would never see why it was refused.
void discardSome(HTTPServerRequest &request)
{
    const auto giveUpAt = std::chrono::steady_clock::now() + discardBound;
    std::string chunk(readSize, '\0');
    std::istream &stream = request.stream();
    std::streamsize discarded = 0;
    while (discarded < mostDiscarded && std::chrono::steady_clock::now() < giveUpAt
           && stream.peek() != std::char_traits<char>::eof()) {
        discarded += stream.readsome(chunk.data(), static_cast<std::streamsize>(chunk.size()));
    }
}

} // namespace

CallerHandler::CallerHandler(PendingAnswers &pending, const CallerServerHooks &hooks,
                             std::atomic<std::uint32_t> &active, std::uint64_t maximumBodyBytes)
    : pending(pending), hooks(hooks), active(active), maximumBodyBytes(maximumBodyBytes)
{ }

void CallerHandler::handleRequest(HTTPServerRequest &request, HTTPServerResponse &response)
{
    const ActiveGuard guard(this->active);
    try {
        this->route(request, response);
    } catch (const Poco::SyntaxException &) {
        this->refuseMalformed(response, "the request line or a header can't be read");
    } catch (const Poco::Exception &) {
        // The caller went away while it was read or answered; the query itself goes on.
        response.setKeepAlive(false);
    }
}

/// The rest of a request that could not be read can't be told from a next one.
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
        const bool ready = this->hooks.ready();
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
    const BodyEnd end = readBody(request, this->maximumBodyBytes, body);
    if (end != BodyEnd::Whole) {
        response.setKeepAlive(false);
        const bool slow = end == BodyEnd::TooSlow;
        if (!slow) {
            discardSome(request);
        }
        this->reply(response,
                    slow ? HTTPResponse::HTTP_REQUEST_TIMEOUT
                         : HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE,
                    writeBadRequest({{"body", FieldProblemKind::OutOfRange,
                                      slow ? "sent too slowly" : "too long"}}));
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
    if (this->hooks.stopping()) {
        response.setKeepAlive(false);
    }
    response.sendBuffer(body.data(), body.size());
}

} // namespace lagoondeck
