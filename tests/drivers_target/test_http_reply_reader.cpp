#include "core/errors.h"
#include "drivers/http_reply_reader.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace lagoondeck;
namespace leaf = boost::leaf;

namespace {

enum class ReadResult {
    Complete,
    Partial,
    Malformed,
};

ReadResult readNext(HttpReplyReader &reader, std::string &body)
{
    return leaf::try_handle_all(
            [&]() -> leaf::result<ReadResult> {
                BOOST_LEAF_AUTO(reply, reader.next());
                if (!reply) {
                    return ReadResult::Partial;
                }
                body = reply->body;
                return ReadResult::Complete;
            },
            [](const MalformedInput &) { return ReadResult::Malformed; },
            [] { return ReadResult::Malformed; });
}

std::string replyWith(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("Replies are read completely however their bytes are split")
{
    rc::check("any split", [] {
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
            for (std::string body; readNext(reader, body) == ReadResult::Complete;) {
                read.push_back(body);
            }
        }
        RC_ASSERT(read == bodies);
        RC_ASSERT(reader.isEmpty());
    });
}

TEST_CASE("Arbitrary bytes are read or refused without a crash")
{
    rc::check("no crash", [] {
        HttpReplyReader reader;
        reader.feed(*rc::gen::string<std::string>());
        reader.feed("\r\n\r\n");
        std::string body;
        for (int i = 0; i < 4 && readNext(reader, body) == ReadResult::Complete; ++i) { }
    });
}

TEST_CASE("A reply that is too long or has no length is refused")
{
    std::string body;
    HttpReplyReader endless;
    endless.feed(std::string(HttpReplyReader::maxHeadBytes + 1, 'x'));
    CHECK(readNext(endless, body) == ReadResult::Malformed);

    HttpReplyReader tooLarge;
    tooLarge.feed("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n");
    CHECK(readNext(tooLarge, body) == ReadResult::Malformed);

    HttpReplyReader withoutLength;
    withoutLength.feed("HTTP/1.1 200 OK\r\n\r\nbody");
    CHECK(readNext(withoutLength, body) == ReadResult::Malformed);
}
