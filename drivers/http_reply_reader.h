#pragma once

#include <Poco/Net/HTTPResponse.h>
#include <boost/leaf/result.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lagoondeck {

/// One whole HTTP reply.
struct HttpReply
{
    Poco::Net::HTTPResponse head;
    std::string body;
};

/// Puts the bytes of one connection together to replies. Replies must tell their length.
class HttpReplyReader
{
public:
    static constexpr std::size_t largestHead = 16 * 1024;
    static constexpr std::size_t largestBody = 8 * 1024 * 1024;

    void feed(std::string_view bytes) { this->buffer.append(bytes); }

    /// The next whole reply, if there is one. Fails with MalformedInput; then the connection is of
    /// no more use.
    boost::leaf::result<std::optional<HttpReply>> next();

    bool empty() const { return this->buffer.empty(); }

private:
    std::string buffer;
};

} // namespace lagoondeck
