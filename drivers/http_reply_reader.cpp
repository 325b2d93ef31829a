#include "drivers/http_reply_reader.h"

#include "core/errors.h"

#include <Poco/Exception.h>
#include <boost/leaf/error.hpp>
#include <sstream>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr std::string_view headTerminator = "\r\n\r\n";

bool hasNoBody(const Poco::Net::HTTPResponse &head)
{
    return head.getStatus() == Poco::Net::HTTPResponse::HTTP_NO_CONTENT
            || head.getStatus() == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
}

} // namespace

leaf::result<std::optional<HttpReply>> HttpReplyReader::next()
{
    const std::size_t end = this->buffer.find(headTerminator);
    if (end == std::string::npos) {
        if (this->buffer.size() > maxHeadBytes) {
            return leaf::new_error(MalformedInput {"the reply header is too long", 0});
        }
        return std::optional<HttpReply> {};
    }
    HttpReply reply;
    std::streamsize length = 0;
    try {
        std::istringstream stream(this->buffer.substr(0, end + headTerminator.size()));
        reply.head.read(stream);
        if (!hasNoBody(reply.head)) {
            length = reply.head.getContentLength();
        }
    } catch (const Poco::Exception &error) {
        return leaf::new_error(MalformedInput {error.displayText(), 0});
    }
    if (length < 0 || static_cast<std::size_t>(length) > maxBodyBytes) {
        return leaf::new_error(
                MalformedInput {"the reply's content length is missing or too large", end});
    }
    const std::size_t replySize = end + headTerminator.size() + static_cast<std::size_t>(length);
    if (this->buffer.size() < replySize) {
        return std::optional<HttpReply> {};
    }
    reply.body = this->buffer.substr(end + headTerminator.size(), static_cast<std::size_t>(length));
    this->buffer.erase(0, replySize);
    return std::optional<HttpReply> {std::move(reply)};
}

} // namespace lagoondeck
