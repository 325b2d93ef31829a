#include "core/errors.h"
#include "drivers/http_reply_reader.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace lagoondeck;
namespace leaf = boost::leaf;

namespace {

enum class Read {
    Whole,
    Partial,
    Malformed,
};

Read readNext(HttpReplyReader &reader, std::string &body)
{
    return leaf::try_handle_all(
            [&]() -> leaf::result<Read> {
                BOOST_LEAF_AUTO(reply, reader.next());
                if (!reply) {
                    return Read::Partial;
                }
                body = reply->body;
                return Read::Whole;
            },
            [](const MalformedInput &) { return Read::Malformed; }, [] { return Read::Malformed; });
}

std::string replyWith(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("Replies come out whole, however their bytes were cut")
{
    rc::check("cuts don't matter", [] {
        const auto bodies =
                *rc::gen::container<std::vector<std::string>>(rc::gen::string<std::string>());
        std::string bytes;
        for (const std::string &body : bodies) {
            bytes += replyWith(body);
        }
        HttpReplyReader reader;
        std::vector<std::string> read;
        while (!bytes.empty()) {
            const auto count = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
            reader.feed(bytes.substr(0, count));
            bytes.erase(0, count);
            for (std::string body; readNext(reader, body) == Read::Whole;) {
                read.push_back(body);
            }
        }
        RC_ASSERT(read == bodies);
        RC_ASSERT(reader.empty());
    });
}

TEST_CASE("Any bytes are read or refused, within bounds")
{
    rc::check("no crash", [] {
        HttpReplyReader reader;
        reader.feed(*rc::gen::string<std::string>());
        reader.feed("\r\n\r\n");
        std::string body;
        for (int i = 0; i < 4 && readNext(reader, body) == Read::Whole; ++i) { }
    });
}

TEST_CASE("A reply without end is refused")
{
    std::string body;
    HttpReplyReader endless;
    endless.feed(std::string(HttpReplyReader::largestHead + 1, 'x'));
    CHECK(readNext(endless, body) == Read::Malformed);

    HttpReplyReader huge;
    huge.feed("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n");
    CHECK(readNext(huge, body) == Read::Malformed);

    HttpReplyReader lengthless;
    lengthless.feed("HTTP/1.1 200 OK\r\n\r\nbody");
    CHECK(readNext(lengthless, body) == Read::Malformed);
}
