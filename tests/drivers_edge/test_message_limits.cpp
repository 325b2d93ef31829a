// Limits on the parts of messages that neither the header's nor the body's length bounds.

#include "drivers/edge/http_reader.h"

#include <catch2/catch.hpp>
#include <string>

using namespace lagoondeck;

namespace {

constexpr std::size_t headerLimit = 512;
constexpr std::size_t bodyLimit = 64;
const std::string chunkedHead = "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Reads the bytes in pieces of the given size.
ReadState read(const std::string &bytes, std::size_t pieceBytes, const MessageLimits &limits = {},
               HttpReader::Kind kind = HttpReader::Kind::Request)
{
    HttpReader reader(kind, headerLimit, bodyLimit, limits);
    std::string buffer;
    for (std::size_t at = 0; at < bytes.size(); at += pieceBytes) {
        buffer += bytes.substr(at, pieceBytes);
        if (const ReadState state = reader.read(buffer); state != ReadState::Incomplete) {
            return state;
        }
    }
    return ReadState::Incomplete;
}

std::string repeat(const std::string &text, std::size_t count)
{
    std::string all;
    for (std::size_t i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

} // namespace

// Guards against a message of which one part grows without a limit. A single byte a time also
// guards against an assertion of the parser at the end of a chunked body.
TEST_CASE("parts without end are refused, however their bytes arrive")
{
    const std::size_t pieceBytes = GENERATE(1, 7, 1000, 100'000);
    INFO(pieceBytes);
    CHECK(read(chunkedHead + "0\r\n" + repeat("A: b\r\n", 2000), pieceBytes)
          == ReadState::HeaderTooLong);
    CHECK(read(chunkedHead + "0\r\n" + repeat("A: b\r\n", 2000) + "\r\n", pieceBytes)
          == ReadState::HeaderTooLong);
    CHECK(read(chunkedHead + "1" + repeat(";a=b", 2000), pieceBytes) == ReadState::HeaderTooLong);
    CHECK(read(chunkedHead + "0" + repeat(";a=b", 2000), pieceBytes) == ReadState::HeaderTooLong);
    CHECK(read(chunkedHead + repeat("1;a=bcdefghijklmnopqrst\r\nx\r\n", 60), pieceBytes)
          == ReadState::HeaderTooLong);
    CHECK(read("GET /p HTTP/1.1\r\n" + repeat("A: b\r\n", 2000), pieceBytes)
          == ReadState::HeaderTooLong);
    CHECK(read("GET /p HTTP/1.1\r\n" + repeat("A: b\r\n", 2000) + "\r\n", pieceBytes)
          == ReadState::HeaderTooLong);
    CHECK(read("GET /" + repeat("p", 2000), pieceBytes) == ReadState::HeaderTooLong);
}

TEST_CASE("chunks, extensions and trailers within the limits are read, however they arrive")
{
    const std::size_t pieceBytes = GENERATE(1, 2, 3, 4, 5, 6, 7, 1000);
    INFO(pieceBytes);
    for (const std::string body :
         {"0\r\n\r\n", "0;a=b\r\n\r\n", "0\r\nA: b\r\n\r\n", "1\r\nx\r\n0\r\n\r\n",
          "1;a=b\r\nx\r\n0\r\nA: b\r\nC: d\r\n\r\n", "4\r\nbody\r\n4\r\nbody\r\n0\r\n\r\n"}) {
        INFO(body);
        CHECK(read(chunkedHead + body, pieceBytes) == ReadState::Complete);
    }
    // As many chunks as the body has bytes.
    CHECK(read(chunkedHead + repeat("1\r\nx\r\n", bodyLimit) + "0\r\n\r\n", pieceBytes)
          == ReadState::Complete);
}

TEST_CASE("the limits of the settings apply")
{
    const std::string request = "GET /path HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n";
    MessageLimits limits;
    limits.requestLineBytes = std::string("GET /path HTTP/1.1").size();
    CHECK(read(request, 9, limits) == ReadState::Complete);
    --limits.requestLineBytes;
    CHECK(read(request, 9, limits) == ReadState::HeaderTooLong);
    limits = {};
    limits.headerFields = 2;
    CHECK(read(request, 9, limits) == ReadState::Complete);
    CHECK(read(chunkedHead + "0\r\nA: b\r\n\r\n", 9, limits) == ReadState::HeaderTooLong);
    limits.headerFields = 1;
    CHECK(read(request, 9, limits) == ReadState::HeaderTooLong);
    limits = {};
    limits.chunkOverheadBytes = 4;
    CHECK(read(chunkedHead + "1;a=b\r\nx\r\n0\r\n\r\n", 9, limits) == ReadState::Complete);
    CHECK(read(chunkedHead + "1;a=bc\r\nx\r\n0\r\n\r\n", 9, limits) == ReadState::HeaderTooLong);
}

TEST_CASE("a limited number of interim replies is skipped")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    MessageLimits limits;
    limits.interimReplies = 3;
    const auto kind = HttpReader::Kind::Reply;
    CHECK(read(repeat(interim, 3) + final, 9, limits, kind) == ReadState::Complete);
    CHECK(read(repeat(interim, 4) + final, 9, limits, kind) == ReadState::Malformed);
}

// Guards against counting a connection's memory too low.
TEST_CASE("an incomplete message counts its bytes and its header fields")
{
    HttpReader reader(HttpReader::Kind::Request, 65536, 65536);
    CHECK(reader.heldBytes() == 0);
    std::string buffer = "POST /p HTTP/1.1\r\nContent-Length: 40000\r\n" + repeat("a:b\r\n", 1000)
            + "\r\n" + std::string(30000, 'x');
    REQUIRE(reader.read(buffer) == ReadState::Incomplete);
    CHECK(reader.heldBytes() > 30000 + 1000 * 100);
    reader.clear();
    CHECK(reader.heldBytes() == 0);
    CHECK_FALSE(reader.hasStarted());
}

// Guards against unfinished headers of many short fields, which take many times the memory of their
// bytes while none of it is counted.
TEST_CASE("an unfinished header counts its fields as they come")
{
    HttpReader reader(HttpReader::Kind::Request, 65536, 65536);
    // The parser stores what it can read at once; later bytes stay in the buffer.
    std::string buffer = "GET /p HTTP/1.1\r\n" + repeat("a:\r\n", 1000);
    REQUIRE(reader.read(buffer) == ReadState::Incomplete);
    CHECK(reader.heldBytes() + buffer.size() > 4000 + 1000 * 100);
}

// Guards against a limit on the number of fields that is checked only when all of them are stored.
TEST_CASE("an unfinished header with too many fields is refused")
{
    MessageLimits limits;
    limits.headerFields = 3;
    const std::string head = "GET /p HTTP/1.1\r\n";
    CHECK(read(head + repeat("a:b\r\n", 3), 4, limits) == ReadState::Incomplete);
    CHECK(read(head + repeat("a:b\r\n", 3) + "\r\n", 4, limits) == ReadState::Complete);
    CHECK(read(head + repeat("a:b\r\n", 4) + "\r\n", 4, limits) == ReadState::HeaderTooLong);
    CHECK(read(head + repeat("a:b\r\n", 6), 512, limits) == ReadState::HeaderTooLong);
}
