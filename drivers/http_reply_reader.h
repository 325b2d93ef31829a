#pragma once

#include <Poco/Net/HTTPResponse.h>
#include <boost/leaf/result.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lagoondeck {

/// A complete HTTP reply.
struct HttpReply
{
    Poco::Net::HTTPResponse head;
    std::string body;
};

/// Assembles HTTP replies from the bytes received on one connection. A reply with a body must have
/// a Content-Length.
class HttpReplyReader
{
public:
    static constexpr std::size_t maxHeadBytes = 16 * 1024;
    static constexpr std::size_t maxBodyBytes = 8 * 1024 * 1024;

    void feed(std::string_view bytes) { this->buffer.append(bytes); }

    /// Returns the next complete reply, or nothing when more bytes are needed. Fails with
    /// MalformedInput, after which the connection must be closed.
    boost::leaf::result<std::optional<HttpReply>> next();

    bool isEmpty() const { return this->buffer.empty(); }

private:
    std::string buffer;
};

} // namespace lagoondeck
