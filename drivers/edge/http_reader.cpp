#include "drivers/edge/http_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <optional>

namespace lagoondeck {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr int firstFinalStatus = 200;

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

    template <typename Call>
    auto visit(const Call &call)
    {
        return this->request ? call(*this->request) : call(*this->reply);
    }
};

HttpReader::HttpReader(Kind kind, std::size_t headerBytes, std::size_t bodyBytes)
    : kind(kind), headerBytes(headerBytes), bodyBytes(bodyBytes), parser(std::make_unique<Parser>())
{
    this->reset();
}

HttpReader::~HttpReader() = default;

void HttpReader::reset()
{
    this->started = false;
    this->continueReported = false;
    if (this->kind == Kind::Request) {
        this->parser->request.emplace();
    } else {
        this->parser->reply.emplace();
        if (this->expectsNoBody) {
            this->parser->reply->skip(true);
        }
    }
    this->parser->visit([this](auto &message) {
        message.eager(true);
        message.header_limit(static_cast<std::uint32_t>(this->headerBytes));
        message.body_limit(this->bodyBytes);
    });
}

ReadState HttpReader::read(std::string &buffer)
{
    if (this->expectsNoBody && !this->started && this->kind == Kind::Reply) {
        this->reset();
    }
    while (!buffer.empty()) {
        this->started = true;
        error_code error;
        const std::size_t used = this->parser->visit(
                [&](auto &message) { return message.put(boost::asio::buffer(buffer), error); });
        buffer.erase(0, used);
        if (error && error != http::error::need_more) {
            return toReadState(error);
        }
        const bool done = this->parser->visit([](auto &message) { return message.is_done(); });
        if (done && this->kind == Kind::Reply
            && static_cast<int>(this->parser->reply->get().result_int()) < firstFinalStatus) {
            // Skips an interim reply; the final one follows.
            this->reset();
            this->started = true;
            continue;
        }
        if (done) {
            return ReadState::Complete;
        }
        if (used == 0) {
            break;
        }
    }
    return ReadState::Incomplete;
}

ReadState HttpReader::finish()
{
    error_code error;
    const bool done = this->parser->visit([&](auto &message) {
        if (message.got_some()) {
            message.put_eof(error);
        }
        return !error && message.is_done();
    });
    return done ? ReadState::Complete : ReadState::Malformed;
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
    this->reset();
    return out;
}

bool HttpReader::expectsContinue()
{
    if (this->kind != Kind::Request || this->continueReported
        || !this->parser->request->is_header_done() || this->parser->request->is_done()) {
        return false;
    }
    const auto &message = this->parser->request->get();
    this->continueReported = boost::beast::iequals(message[http::field::expect], "100-continue");
    return this->continueReported;
}

} // namespace lagoondeck
