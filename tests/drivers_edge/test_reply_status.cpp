// Which status lines a reply may have. Forwarded and gathered requests and calls of the store all
// read replies with HttpReader.

#include "drivers/edge/delegation_messages.h"
#include "drivers/edge/http_reader.h"
#include "proto/peer.pb.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

using namespace lagoondeck;

namespace {

ReadState readReply(std::string bytes)
{
    HttpReader reader(HttpReader::Kind::Reply, 512, 64);
    return reader.read(bytes);
}

CallerReply decodeReply(const proto::PeerMessage &message)
{
    const auto event = readDelegationMessage(message);
    REQUIRE(event);
    return std::get<DelegatedAnswerReceived>(*event).answer.reply;
}

} // namespace

// Guards against passing on a status that no final reply can have, and against taking one below 100
// for an interim reply, after which the attempt waits for another one.
TEST_CASE("a reply with an invalid status line is malformed as soon as its header is read")
{
    const std::string line =
            GENERATE("HTTP/1.1 000 A", "HTTP/1.1 099 A", "HTTP/1.1 101 A", "HTTP/1.1 600 A",
                     "HTTP/1.1 999 A", "HTTP/1.1 2 A", "HTTP/1.1 20 A", "HTTP/1.1 2000 A",
                     "HTTP/1.1 -20 A", "HTTP/2.0 200 A", "HTTP/0.9 200 A", "HTTP/1.2 200 A",
                     "HTTP/3 200 A", "ICY 200 A", "200 A", "HTTP/1.1  200 A");
    INFO(line);
    CHECK(readReply(line + "\r\nContent-Length: 2\r\n\r\n") == ReadState::Malformed);
    CHECK(readReply(line + "\r\nContent-Length: 2\r\n\r\nok") == ReadState::Malformed);
}

TEST_CASE("replies with a valid status line are read, interim ones are skipped")
{
    const std::string line = GENERATE("HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 599 A",
                                      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 A",
                                      "HTTP/1.1 103 A\r\nB: c\r\n\r\nHTTP/1.1 200 OK");
    INFO(line);
    CHECK(readReply(line + "\r\nContent-Length: 2\r\n\r\nok") == ReadState::Complete);
}

// Guards against a member of another version or with a fault whose answer is passed on.
TEST_CASE("a delegated answer with an invalid status is answered with 502 and not passed on")
{
    const unsigned status = GENERATE(0U, 99U, 100U, 101U, 199U, 600U, 999U, 4'294'967'295U);
    const bool isForwarded = GENERATE(false, true);
    INFO(status);
    proto::PeerMessage message;
    proto::DelegatedAnswer &answer = *message.mutable_delegated_answer();
    answer.set_status(isForwarded ? 200 : status);
    answer.set_body("x");
    if (isForwarded) {
        answer.mutable_forwarded()->set_status(status);
        answer.mutable_forwarded()->set_body("x");
    }
    const CallerReply reply = decodeReply(message);
    CHECK(reply.status == 502);
    CHECK(reply.forwarded == nullptr);
    CHECK(reply.mergedBody.empty());
    CHECK(reply.partSignatures.empty());
}

TEST_CASE("a delegated answer with a valid status keeps it")
{
    const unsigned status = GENERATE(200U, 204U, 404U, 503U, 599U);
    proto::PeerMessage message;
    message.mutable_delegated_answer()->set_status(status);
    CHECK(decodeReply(message).status == static_cast<int>(status));
    message.mutable_delegated_answer()->mutable_forwarded()->set_status(status);
    CHECK(decodeReply(message).forwarded->status == static_cast<int>(status));
}
