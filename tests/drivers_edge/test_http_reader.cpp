#include "drivers/edge/http_reader.h"

#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <string>

using namespace lagoondeck;

namespace {

constexpr std::size_t headerLimit = 512;
constexpr std::size_t bodyLimit = 64;

ReadState readAll(std::string bytes, HttpMessage *out = nullptr,
                  HttpReader::Kind kind = HttpReader::Kind::Request)
{
    HttpReader reader(kind, headerLimit, bodyLimit);
    const ReadState state = reader.read(bytes);
    if (state == ReadState::Complete && out != nullptr) {
        *out = reader.take();
    }
    return state;
}

const std::string plain = "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
const std::string chunked = "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";

} // namespace

TEST_CASE("a body is read by its length and by chunks")
{
    for (const std::string &bytes : {plain, chunked}) {
        HttpMessage message;
        REQUIRE(readAll(bytes, &message) == ReadState::Complete);
        CHECK(message.method == "POST");
        CHECK(message.target == "/p");
        CHECK(message.body == "body");
        CHECK(message.keepsConnection);
    }
}

TEST_CASE("a message is read correctly for any split of its bytes")
{
    rc::prop("random splits", [](std::uint32_t seed) {
        std::mt19937 random(seed);
        const std::string bytes = (seed % 2 == 0 ? plain : chunked) + plain;
        HttpReader reader(HttpReader::Kind::Request, headerLimit, bodyLimit);
        std::string buffer;
        std::size_t messages = 0;
        for (std::size_t at = 0; at < bytes.size();) {
            const std::size_t count = std::min<std::size_t>(1 + random() % 9, bytes.size() - at);
            buffer += bytes.substr(at, count);
            at += count;
            while (!buffer.empty()) {
                const ReadState state = reader.read(buffer);
                if (state != ReadState::Complete) {
                    RC_ASSERT(state == ReadState::Incomplete);
                    break;
                }
                RC_ASSERT(reader.take().body == "body");
                ++messages;
            }
        }
        RC_ASSERT(messages == 2U);
    });
}

TEST_CASE("malformed and ambiguous requests are refused")
{
    for (const char *bytes :
         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: "
          "chunked\r\n\r\n0\r\n\r\n",
          "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: "
          "4\r\n\r\n0\r\n\r\n",
          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4x\r\n\r\nbody",
          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -4\r\n\r\nbody",
          "POST / HTTP/1.1\r\nHost : h\r\nContent-Length: 4\r\n\r\nbody", "GET /\r\n\r\n",
          "\x16\x03\x01\x02", "GET / HTTP/3.0\r\n\r\n",
          "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
        INFO(bytes);
        CHECK(readAll(bytes) == ReadState::Malformed);
    }
}

// Guards against a request that is hidden in the body of another one: with an unknown transfer
// coding the end of the body is not known, and its bytes were read as the next request.
TEST_CASE("a request with another transfer coding than chunked is refused")
{
    for (const std::string coding :
         {"gzip", "identity", "chunked, gzip", "gzip, chunked", "chunked, chunked", "chunked;q=1",
          "chunked\r\nTransfer-Encoding: gzip", "gzip\r\nTransfer-Encoding: chunked", ""}) {
        INFO(coding);
        CHECK(readAll("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding
                      + "\r\n\r\nPOST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
              == ReadState::Malformed);
    }
    CHECK(readAll("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n")
          == ReadState::Complete);
}

TEST_CASE("header and body limits are enforced before all bytes have arrived")
{
    CHECK(readAll("GET /" + std::string(2 * headerLimit, 'x') + " HTTP/1.1\r\n")
          == ReadState::HeaderTooLong);
    CHECK(readAll("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n")
          == ReadState::BodyTooLong);
    CHECK(readAll("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n"
                  + std::string(0x41, 'x'))
          == ReadState::BodyTooLong);
}

TEST_CASE("corrupted bytes never crash the reader")
{
    rc::prop("random corruption", [](std::uint32_t seed) {
        std::mt19937 random(seed);
        std::string bytes = seed % 2 == 0 ? plain : chunked;
        for (std::uint32_t i = 0; i < 1 + seed % 4; ++i) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        readAll(bytes, nullptr,
                seed % 3 == 0 ? HttpReader::Kind::Reply : HttpReader::Kind::Request);
    });
}

TEST_CASE("interim replies are skipped")
{
    HttpMessage message;
    REQUIRE(readAll("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                    &message, HttpReader::Kind::Reply)
            == ReadState::Complete);
    CHECK(message.status == 200);
    CHECK(message.body == "ok");
}

TEST_CASE("a reply without a length ends when the connection closes, but a truncated reply is "
          "malformed")
{
    HttpReader open(HttpReader::Kind::Reply, headerLimit, bodyLimit);
    std::string bytes = "HTTP/1.1 200 OK\r\n\r\nall";
    CHECK(open.read(bytes) == ReadState::Incomplete);
    REQUIRE(open.finish() == ReadState::Complete);
    const HttpMessage message = open.take();
    CHECK(message.body == "all");
    CHECK_FALSE(message.keepsConnection);

    HttpReader truncatedReader(HttpReader::Kind::Reply, headerLimit, bodyLimit);
    std::string truncated = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
    CHECK(truncatedReader.read(truncated) == ReadState::Incomplete);
    CHECK(truncatedReader.finish() == ReadState::Malformed);
}

TEST_CASE("a reply to HEAD has no body")
{
    HttpReader reader(HttpReader::Kind::Reply, headerLimit, bodyLimit);
    reader.expectNoBody();
    std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
    CHECK(reader.read(bytes) == ReadState::Complete);
}

TEST_CASE("a request with 'Expect: 100-continue' is reported once")
{
    HttpReader reader(HttpReader::Kind::Request, headerLimit, bodyLimit);
    std::string bytes = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                        "Expect: 100-continue\r\n\r\n";
    CHECK(reader.read(bytes) == ReadState::Incomplete);
    CHECK(reader.expectsContinue());
    CHECK_FALSE(reader.expectsContinue());
}
