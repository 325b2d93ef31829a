#include "drivers/edge/http_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>

namespace lagoondeck {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr int statusSwitchingProtocols = 101;
constexpr int firstInterimStatus = 100;
constexpr int firstFinalStatus = 200;
constexpr unsigned versionHttp10 = 10;
constexpr unsigned versionHttp11 = 11;
/// The bytes of "0\r\n\r\n".
constexpr std::size_t minChunkedEnd = 5;
/// The longest size line of a chunk without extensions: the line breaks before and after 16 digits.
constexpr std::size_t maxChunkSizeLine = 20;
/// What a header field takes in memory besides its bytes, in the parser and in the message.
constexpr std::size_t fieldOverhead = 160;

template <typename Message>
std::size_t countFields(const Message &message)
{
    return static_cast<std::size_t>(std::distance(message.begin(), message.end()));
}

template <typename Message>
std::size_t countFieldBytes(const Message &message)
{
    std::size_t bytes = 0;
    for (const auto &field : message) {
        bytes += field.name_string().size() + field.value().size();
    }
    return bytes;
}

/// Returns true if the end of the body follows from the header: with another transfer coding than
/// chunked the body would end where the parser finds no body at all, and its bytes would be read
/// as the next request.
template <typename Message>
bool hasKnownBodyEnd(const Message &message)
{
    const auto [first, last] = message.equal_range(http::field::transfer_encoding);
    return first == last
            || (std::next(first) == last && boost::beast::iequals(first->value(), "chunked"));
}

/// Returns true if a target may reply with this status line, be it an interim or a final one.
template <typename Message>
bool isValidStatusLine(const Message &message)
{
    const int status = static_cast<int>(message.result_int());
    return (message.version() == versionHttp10 || message.version() == versionHttp11)
            && (isFinalStatus(status)
                || (status >= firstInterimStatus && status < firstFinalStatus
                    && status != statusSwitchingProtocols));
}

template <bool isRequest, typename Message>
HttpMessage convert(Message &&message, bool keepsConnection)
{
    HttpMessage out;
    if constexpr (isRequest) {
        out.method = std::string(message.method_string());
        out.target = std::string(message.target());
    } else {
        out.status = static_cast<int>(message.result_int());
        out.reason = std::string(message.reason());
    }
    for (const auto &field : message) {
        out.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    out.body = std::move(message.body());
    out.keepsConnection = keepsConnection;
    return out;
}

ReadState toReadState(const error_code &error)
{
    if (error == http::error::need_more) {
        return ReadState::Incomplete;
    }
    if (error == http::error::header_limit) {
        return ReadState::HeaderTooLong;
    }
    return error == http::error::body_limit ? ReadState::BodyTooLong : ReadState::Malformed;
}

} // namespace

struct HttpReader::Parser
{
    std::optional<http::request_parser<http::string_body>> request;
    std::optional<http::response_parser<http::string_body>> reply;
    std::size_t extensionBytes = 0;
    bool headerChecked = false;
    std::function<void(std::uint64_t, boost::beast::string_view, error_code &)> onChunkHeader;

    template <typename Call>
    auto visit(const Call &call)
    {
        return this->request ? call(*this->request) : call(*this->reply);
    }
};

HttpReader::HttpReader(Kind kind, std::size_t headerBytes, std::size_t bodyBytes,
                       const MessageLimits &message)
    : kind(kind)
{
    this->setLimits(headerBytes, bodyBytes, message);
}

HttpReader::~HttpReader() = default;

void HttpReader::setLimits(std::size_t headerBytes, std::size_t bodyBytes,
                           const MessageLimits &message)
{
    this->headerBytes = headerBytes;
    this->bodyBytes = bodyBytes;
    this->limits = message;
    for (std::size_t *limit : {&this->limits.requestLineBytes, &this->limits.headerFields,
                               &this->limits.chunkOverheadBytes}) {
        *limit = *limit == 0 ? headerBytes : *limit;
    }
}

void HttpReader::clear()
{
    this->parser.reset();
    this->started = false;
    this->continueReported = false;
    this->usedBytes = 0;
    this->fieldCount = 0;
    this->interimReplies = 0;
}

void HttpReader::beginMessage()
{
    this->started = true;
    this->usedBytes = 0;
    this->fieldCount = 0;
    this->parser = std::make_unique<Parser>();
    if (this->kind == Kind::Request) {
        this->parser->request.emplace();
    } else {
        this->parser->reply.emplace();
        this->parser->reply->skip(this->expectsNoBody);
    }
    Parser &state = *this->parser;
    state.onChunkHeader = [&state, limit = this->limits.chunkOverheadBytes](
                                  std::uint64_t, boost::beast::string_view extensions,
                                  error_code &error) {
        state.extensionBytes += extensions.size();
        if (state.extensionBytes > limit) {
            error = http::error::header_limit;
        }
    };
    state.visit([this, &state](auto &message) {
        message.header_limit(static_cast<std::uint32_t>(this->headerBytes));
        message.body_limit(this->bodyBytes);
        message.on_chunk_header(state.onChunkHeader);
    });
}

ReadState HttpReader::read(std::string &buffer)
{
    while (!buffer.empty()) {
        if (this->parser == nullptr) {
            this->beginMessage();
        }
        const std::size_t bufferedBytes = buffer.size();
        const ReadState state = this->parse(buffer);
        if (state == ReadState::Complete && this->isInterimReply()) {
            if (++this->interimReplies > this->limits.interimReplies) {
                return ReadState::Malformed;
            }
            this->beginMessage();
            continue;
        }
        // The parser stops after the header, so that the header is checked before the body is read.
        if (state != ReadState::Incomplete || buffer.size() == bufferedBytes) {
            return state;
        }
    }
    return ReadState::Incomplete;
}

ReadState HttpReader::parse(std::string &buffer)
{
    Parser &state = *this->parser;
    // The last chunk and the line break after it have at least 5 bytes. Once the parser has seen
    // the last chunk's line, "0\r\n", it asserts that it is not called with fewer. Data that begins
    // with this digit is held back as well, until more arrives; at least the last chunk must follow
    // it.
    const bool isChunked =
            state.headerChecked && state.visit([](auto &message) { return message.chunked(); });
    if (isChunked && buffer.size() < minChunkedEnd && buffer.front() == '0') {
        return ReadState::Incomplete;
    }
    error_code error;
    const std::size_t used = state.visit(
            [&](auto &message) { return message.put(boost::asio::buffer(buffer), error); });
    if (!state.headerChecked) {
        // The parser stores each field as soon as it has read its line.
        this->fieldCount += static_cast<std::size_t>(std::count(
                buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(used), '\n'));
    }
    buffer.erase(0, used);
    this->usedBytes += used;
    if (error && error != http::error::need_more) {
        return toReadState(error);
    }
    if (!state.headerChecked) {
        if (const ReadState result = this->checkHeader(); result != ReadState::Incomplete) {
            return result;
        }
    }
    if (const ReadState result = this->checkChunkOverhead(buffer.size());
        result != ReadState::Incomplete) {
        return result;
    }
    return state.visit([](auto &message) { return message.is_done(); }) ? ReadState::Complete
                                                                        : ReadState::Incomplete;
}

ReadState HttpReader::checkHeader()
{
    Parser &state = *this->parser;
    // The parser's own limit applies to the bytes of one call only. The lines are counted without
    // the first and the last one, which are not fields.
    if (this->usedBytes > this->headerBytes || this->fieldCount > this->limits.headerFields + 2) {
        return ReadState::HeaderTooLong;
    }
    if (!state.visit([](auto &message) { return message.is_header_done(); })) {
        return ReadState::Incomplete;
    }
    state.headerChecked = true;
    this->fieldCount = state.visit([](auto &message) { return countFields(message.get()); });
    if (this->fieldCount > this->limits.headerFields) {
        return ReadState::HeaderTooLong;
    }
    if (state.request) {
        const auto &request = state.request->get();
        if (!hasKnownBodyEnd(request)) {
            return ReadState::Malformed;
        }
        const std::size_t lineBytes = request.method_string().size() + request.target().size()
                + std::string_view("  HTTP/1.1").size();
        if (lineBytes > this->limits.requestLineBytes) {
            return ReadState::HeaderTooLong;
        }
    } else if (!isValidStatusLine(state.reply->get())) {
        return ReadState::Malformed;
    }
    state.visit([](auto &message) { message.eager(true); });
    return ReadState::Incomplete;
}

ReadState HttpReader::checkChunkOverhead(std::size_t unparsedBytes)
{
    Parser &state = *this->parser;
    if (!state.headerChecked || !state.visit([](auto &message) { return message.chunked(); })) {
        return ReadState::Incomplete;
    }
    // The parser uses neither a chunk's size line nor the trailers before they are complete.
    const bool isDone = state.visit([](auto &message) { return message.is_done(); });
    if (!isDone) {
        return unparsedBytes > this->limits.chunkOverheadBytes + maxChunkSizeLine
                ? ReadState::HeaderTooLong
                : ReadState::Incomplete;
    }
    const auto [count, bytes] = state.visit([](auto &message) {
        return std::pair(countFields(message.get()), countFieldBytes(message.get()));
    });
    const bool isTooLong = count > this->fieldCount
            && (count > this->limits.headerFields
                || bytes > this->headerBytes + this->limits.chunkOverheadBytes);
    return isTooLong ? ReadState::HeaderTooLong : ReadState::Incomplete;
}

bool HttpReader::isInterimReply() const
{
    return this->kind == Kind::Reply
            && static_cast<int>(this->parser->reply->get().result_int()) < firstFinalStatus;
}

std::size_t HttpReader::heldBytes() const
{
    return this->parser == nullptr
            ? 0
            : sizeof(Parser) + this->usedBytes + this->fieldCount * fieldOverhead;
}

ReadState HttpReader::finish()
{
    if (this->parser == nullptr) {
        return ReadState::Malformed;
    }
    error_code error;
    const bool done = this->parser->visit([&](auto &message) {
        if (message.got_some()) {
            message.put_eof(error);
        }
        return !error && message.is_done();
    });
    return done && !this->isInterimReply() ? ReadState::Complete : ReadState::Malformed;
}

HttpMessage HttpReader::take()
{
    HttpMessage out;
    if (this->kind == Kind::Request) {
        const bool keeps = this->parser->request->keep_alive();
        out = convert<true>(this->parser->request->release(), keeps);
    } else {
        const bool keeps = this->parser->reply->keep_alive() && !this->parser->reply->need_eof();
        out = convert<false>(this->parser->reply->release(), keeps);
    }
    this->expectsNoBody = false;
    this->clear();
    return out;
}

bool HttpReader::expectsContinue()
{
    if (this->kind != Kind::Request || this->continueReported || this->parser == nullptr
        || !this->parser->request->is_header_done() || this->parser->request->is_done()) {
        return false;
    }
    const auto &message = this->parser->request->get();
    this->continueReported = boost::beast::iequals(message[http::field::expect], "100-continue");
    return this->continueReported;
}

} // namespace lagoondeck
