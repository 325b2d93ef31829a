#include "core/errors.h"
#include "drivers/http_reply_reader.h"
#include "drivers/target_codec.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <rapidcheck.h>

using namespace lagoondeck;
namespace leaf = boost::leaf;
using Poco::Net::HTTPResponse;

namespace {

const InstanceId instance("entry-0");
constexpr std::uint64_t attemptNumber = 7;

HttpReply replyOf(int status, const std::string &header, const std::string &value)
{
    HttpReply reply;
    reply.head.setStatus(static_cast<HTTPResponse::HTTPStatus>(status));
    reply.head.set("Lagoon-Attempt", "entry-0/7");
    if (!header.empty()) {
        reply.head.set(header, value);
    }
    return reply;
}

std::optional<TargetReplied> read(const HttpReply &reply)
{
    return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<TargetReplied>> {
                BOOST_LEAF_AUTO(
                        event,
                        readSubReply(reply, AttemptId(attemptNumber), ConnectionId(1), instance));
                return std::optional(event);
            },
            [] { return std::optional<TargetReplied> {}; });
}

} // namespace

TEST_CASE("Only the Lagoon-Not-Run header proves that a sub-request did not run")
{
    CHECK(read(replyOf(503, "Lagoon-Not-Run", "shed"))->kind == ReplyKind::Shed);
    CHECK(read(replyOf(503, "Lagoon-Not-Run", "draining"))->kind == ReplyKind::Draining);
    CHECK(read(replyOf(410, "Lagoon-Not-Run", "snapshot"))->kind == ReplyKind::SnapshotRetired);
    CHECK(read(replyOf(409, "Lagoon-Not-Run", "cancelled"))->kind == ReplyKind::CancelledBeforeRun);
    CHECK(read(replyOf(504, "Lagoon-Not-Run", "expired"))->kind == ReplyKind::ExpiredBeforeRun);
    CHECK(read(replyOf(409, "Lagoon-Ran", "cancelled"))->kind == ReplyKind::CancelledWhileRunning);
    for (const int status : {503, 410, 409, 504, 500, 404}) {
        CHECK(read(replyOf(status, "", ""))->kind == ReplyKind::Failed);
    }
}

TEST_CASE("A reply that names another attempt is refused")
{
    HttpReply reply = replyOf(200, "Lagoon-Snapshot", "3");
    reply.body = R"({"hits":[]})";
    REQUIRE(read(reply));
    reply.head.set("Lagoon-Attempt", "entry-0/8");
    CHECK_FALSE(read(reply));
    reply.head.set("Lagoon-Attempt", "entry-1/7");
    CHECK_FALSE(read(reply));
}

TEST_CASE("An answer must name its snapshot and contain hits")
{
    HttpReply reply = replyOf(200, "", "");
    reply.body = R"({"hits":[{"score":0.5,"id":"x"},{"id":"y"}]})";
    CHECK_FALSE(read(reply));
    reply.head.set("Lagoon-Snapshot", "3");
    const auto event = read(reply);
    REQUIRE(event);
    CHECK(event->snapshot == SnapshotVersion(3));
    REQUIRE(event->hits.size() == 2);
    CHECK(event->hits[0].score == Approx(0.5));
    CHECK(event->hits[1].score == Approx(0.0));
    for (const char *body : {"", "[]", "{}", R"({"hits":1})", R"({"hits":[)"}) {
        reply.body = body;
        CHECK_FALSE(read(reply));
    }
}

TEST_CASE("A malformed list of snapshots is refused as a whole")
{
    CHECK(readSnapshots("7/10,8/12")
          == std::vector<SnapshotAnnouncement> {{SnapshotVersion(7), 10},
                                                {SnapshotVersion(8), 12}});
    for (const char *text : {"", "7", "7/", "/10", "7/10;8/12", "7/10,8", "x/1", "-1/2"}) {
        CHECK(readSnapshots(text).empty());
    }
    rc::check("no text crashes", [] { readSnapshots(*rc::gen::string<std::string>()); });
}

TEST_CASE("A sub-request contains the headers that the target needs")
{
    SendSubRequest send;
    send.attempt = AttemptId(attemptNumber);
    send.shard = ShardId(4);
    send.snapshot = SnapshotVersion(9);
    send.requestId = RequestId("r-1");
    send.deadline = std::chrono::milliseconds(20);
    send.body = std::make_shared<const std::string>("{}");
    const std::string text = writeSubRequest(send, instance, "127.0.0.1:1");
    CHECK(text.starts_with("POST /v1/shards/4/query HTTP/1.1\r\n"));
    for (const char *line : {"Lagoon-Attempt: entry-0/7", "Lagoon-Snapshot: 9",
                             "Lagoon-Deadline-Us: 20000", "Lagoon-Request: r-1"}) {
        CHECK(text.find(line) != std::string::npos);
    }
    CHECK(writeCancellation(AttemptId(attemptNumber), instance, "h")
                  .starts_with("DELETE /v1/attempts/entry-0%2F7 HTTP/1.1\r\n"));
}
