#include "platform/message_codec.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;

namespace {

HttpMessage request(HeaderFields fields)
{
    HttpMessage message;
    message.method = "POST";
    message.target = "/p/x?y=1";
    message.fields = std::move(fields);
    message.body = "body";
    return message;
}

HttpMessage reply(int status, HeaderFields fields)
{
    HttpMessage message;
    message.status = status;
    message.reason = "R";
    message.fields = std::move(fields);
    message.body = "bytes";
    return message;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a target that refuses a request may ask for a pause")
{
    const auto pauseOf = [](int status, const std::string &text) {
        return wire::readTargetReply(reply(status, {{"Not-Executed", "1"}, {"Retry-After", text}}),
                                     "r")
                .requestedPause;
    };
    CHECK(pauseOf(503, "2") == std::chrono::seconds(2));
    CHECK(pauseOf(503, "0.25") == std::chrono::milliseconds(250));
    CHECK(pauseOf(503, "1e300") <= std::chrono::hours(1));
    for (const char *text : {"", "-1", "soon", "2 s", "nan"}) {
        CHECK(pauseOf(503, text) == Duration(0));
    }
    CHECK(pauseOf(429, "2") == Duration(0));
}

TEST_CASE("a reply tells whether its target is leaving")
{
    CHECK(wire::readTargetReply(reply(200, {{"server-leaving", "1"}}), "r").isTargetLeaving);
    CHECK_FALSE(wire::readTargetReply(reply(200, {}), "r").isTargetLeaving);
}

TEST_CASE("a request is read with its id, host and time limit")
{
    const auto read = wire::readRequest(
            request({{"Host", "LENO.example:80"}, {"request-id", "r1"}, {"Deadline-Ms", "300"}}));
    REQUIRE(read);
    CHECK(read->host == "leno.example");
    CHECK(read->requestId == "r1");
    CHECK(read->timeLimit == std::chrono::milliseconds(300));
    CHECK(read->path == "/p/x?y=1");
}

TEST_CASE("a request without a required field or with an invalid one is malformed")
{
    CHECK_FALSE(wire::readRequest(request({{"Host", "h"}})));
    CHECK_FALSE(wire::readRequest(request({{"Request-Id", "r"}})));
    CHECK_FALSE(wire::readRequest(
            request({{"Host", "h"}, {"Request-Id", "r"}, {"Deadline-Ms", "soon"}})));
    HttpMessage absolute = request({{"Host", "h"}, {"Request-Id", "r"}});
    absolute.target = "http://h/p";
    CHECK_FALSE(wire::readRequest(std::move(absolute)));
}

TEST_CASE("only end-to-end fields are forwarded to the target, with its name and the time left")
{
    const auto read = wire::readRequest(request({{"Host", "h"},
                                                 {"Request-Id", "r1"},
                                                 {"Deadline-Ms", "300"},
                                                 {"Connection", "keep-alive, X-Hop"},
                                                 {"X-Hop", "1"},
                                                 {"X-Kept", "2"},
                                                 {"Expect-Instance", "forged"},
                                                 {"Transfer-Encoding", "chunked"}}));
    REQUIRE(read);
    const std::string bytes = wire::writeTargetRequest(*read, "t1", std::chrono::milliseconds(250));
    CHECK(bytes.starts_with("POST /p/x?y=1 HTTP/1.1\r\n"));
    CHECK(contains(bytes, "Request-Id: r1\r\n"));
    CHECK(contains(bytes, "X-Kept: 2\r\n"));
    CHECK(contains(bytes, "Deadline-Ms: 250\r\n"));
    CHECK(contains(bytes, "Expect-Instance: t1\r\n"));
    CHECK(contains(bytes, "Content-Length: 4\r\n"));
    CHECK(bytes.ends_with("\r\n\r\nbody"));
    CHECK_FALSE(contains(bytes, "X-Hop"));
    CHECK_FALSE(contains(bytes, "forged"));
    CHECK_FALSE(contains(bytes, "chunked"));
    CHECK_FALSE(contains(bytes, "300"));
}

TEST_CASE("a reply is usable only with a signature, a matching id and an unencoded body")
{
    const auto kindOf = [](int status, HeaderFields fields) {
        return wire::readTargetReply(reply(status, std::move(fields)), "r1").kind;
    };
    CHECK(kindOf(200, {{"Server-Stamp", "s"}, {"Request-Id", "r1"}}) == ReplyClass::Success);
    CHECK(kindOf(200, {{"Server-Stamp", "s"}}) == ReplyClass::Success);
    CHECK(kindOf(500, {{"Server-Stamp", "s"}}) == ReplyClass::Failure);
    CHECK(kindOf(200, {{"Request-Id", "r1"}}) == ReplyClass::Unusable);
    CHECK(kindOf(200, {{"Server-Stamp", "s"}, {"Content-Encoding", "gzip"}})
          == ReplyClass::Unusable);
    CHECK(kindOf(200, {{"Server-Stamp", "s"}, {"Request-Id", "r2"}}) == ReplyClass::Unusable);
    CHECK(kindOf(503, {{"Not-Executed", "1"}}) == ReplyClass::NotRun);
    // A refusal without the Not-Executed field does not prove that the request was not run.
    CHECK(kindOf(503, {}) == ReplyClass::Unusable);
    CHECK(wire::readTargetReply(reply(421, {}), "r1").otherInstance);
    CHECK(wire::readTargetReply(reply(200, {{"Request-Id", "r2"}}), "r1").otherRequest);
}

TEST_CASE("a forwarded answer keeps status, signature and body")
{
    CallerReply answer;
    answer.forwarded = std::make_shared<ForwardedReply>(wire::readTargetReply(
            reply(200, {{"Server-Stamp", "s"}, {"Connection", "close"}, {"X-Own", "v"}}), "r1"));
    const std::string bytes = wire::writeCallerReply(answer, "GET", false);
    CHECK(bytes.starts_with("HTTP/1.1 200 R\r\n"));
    CHECK(contains(bytes, "Server-Stamp: s\r\n"));
    CHECK(contains(bytes, "X-Own: v\r\n"));
    CHECK_FALSE(contains(bytes, "Connection"));
    CHECK(bytes.ends_with("Content-Length: 5\r\n\r\nbytes"));
    CHECK(contains(wire::writeCallerReply(answer, "GET", true), "Connection: close\r\n"));
}

TEST_CASE("a merged answer contains the signatures of its parts and how many are missing")
{
    CallerReply answer;
    answer.status = 200;
    answer.partSignatures = {"a", "b"};
    answer.partsMissing = 1;
    answer.mergedBody = "0123456789abcdef";
    const std::string bytes = wire::writeCallerReply(answer, "GET", false);
    CHECK(contains(bytes, "Part-Stamps: a, b\r\n"));
    CHECK(contains(bytes, "Missing-Parts: 1\r\n"));
    CHECK(bytes.ends_with("\r\n\r\n0123456789abcdef"));
}

TEST_CASE("a refusal contains the retry delay in seconds with fractions")
{
    CallerReply answer;
    answer.status = 503;
    answer.retryAfter = std::chrono::milliseconds(25);
    CHECK(contains(wire::writeCallerReply(answer, "GET", false), "Retry-After: 0.025\r\n"));
}

TEST_CASE("the idle timeout of a target's connection is read")
{
    CHECK(wire::readIdleTime({{"Keep-Alive", "timeout=5, max=9"}}) == std::chrono::seconds(5));
    CHECK_FALSE(wire::readIdleTime({{"Keep-Alive", "max=9"}}));
    CHECK_FALSE(wire::readIdleTime({}));
}

TEST_CASE("a target's limit is a finite number of at least zero")
{
    const auto limitOf = [](const std::string &value) {
        return wire::readTargetReply(reply(200, {{"Server-Stamp", "s"}, {"server-limit", value}}),
                                     "r")
                .requestLimit;
    };
    CHECK(limitOf("33.1") == 33.1);
    CHECK(limitOf(" 0 ") == 0.0);
    CHECK(limitOf("1e2") == 100.0);
    for (const char *text : {"", "-1", "nan", "inf", "many", "5 per second"}) {
        CHECK_FALSE(limitOf(text));
    }
    CHECK_FALSE(wire::readTargetReply(reply(200, {{"Server-Stamp", "s"}}), "r").requestLimit);
}

namespace {

const std::string key = "k-7f3a9c";

/// Returns the request that is read from fields which all requests need and the given ones.
ForwardedRequest readWith(HeaderFields fields)
{
    HeaderFields all {{"Host", "h"}, {"Request-Id", "r1"}, {"X-Kept", "2"}};
    all.insert(all.end(), fields.begin(), fields.end());
    const auto read = wire::readRequest(request(std::move(all)));
    REQUIRE(read);
    return *read;
}

} // namespace

TEST_CASE("a key is read from a single field with the scheme for keys, in any case")
{
    CHECK(readWith({{"Authorization", "Bearer " + key}}).accountKey == key);
    CHECK(readWith({{"authorization", "bearer " + key}}).accountKey == key);
    CHECK(readWith({{"AUTHORIZATION", "BEARER \t " + key + " \t"}}).accountKey == key);
    for (const std::string &value :
         std::vector<std::string> {key, "Basic " + key, "Bearer", "Bearer ", "Bearer" + key,
                                   "Bearer\t" + key, " Bearer"}) {
        INFO(value);
        CHECK(readWith({{"Authorization", value}}).accountKey.empty());
    }
    CHECK(readWith({}).accountKey.empty());
}

// Guards against a request that names two accounts and is served for one of them.
TEST_CASE("several fields with keys give no key")
{
    const std::string value = "Bearer " + key;
    CHECK(readWith({{"Authorization", value}, {"authorization", value}}).accountKey.empty());
    CHECK(readWith({{"Authorization", value}, {"Authorization", "Basic x"}}).accountKey.empty());
    CHECK(readWith({{"Authorization", value + ", Bearer other"}}).accountKey != key);
}

// Guards against a proxy in front of this instance that lists the field as its own, and whose
// callers are then all refused.
TEST_CASE("a key counts also if the Connection field names it, and is then not passed on")
{
    const ForwardedRequest read = readWith({{"Connection", "close, authorization, TENANT"},
                                            {"Authorization", "Bearer " + key},
                                            {"Tenant", "forged"}});
    CHECK(read.accountKey == key);
    CHECK(read.identityFields.empty());
    const std::string bytes = wire::writeTargetRequest(read, "t1", std::chrono::milliseconds(5));
    CHECK_FALSE(contains(bytes, key));
    CHECK_FALSE(contains(bytes, "forged"));
}

// Guards against a key, or an account's name that the caller invented, among the fields that are
// passed on whatever the configuration says.
TEST_CASE("fields that tell who the caller is are kept apart from the others")
{
    const ForwardedRequest read = readWith({{"authorization", "Bearer " + key},
                                            {"tenant", "forged"},
                                            {"Authorization", "Digest " + key},
                                            {"TENANT", "forged"},
                                            {"X-Last", "3"}});
    CHECK(read.identityFields.size() == 4);
    CHECK(read.fields
          == HeaderFields {{"Host", "h"}, {"Request-Id", "r1"}, {"X-Kept", "2"}, {"X-Last", "3"}});
}

TEST_CASE("a target gets the account's name once, or what the caller sent if there are no accounts")
{
    ForwardedRequest read = readWith({{"Authorization", "Bearer " + key}, {"Tenant", "forged"}});
    const std::string unchanged =
            wire::writeTargetRequest(read, "t1", std::chrono::milliseconds(5));
    CHECK(contains(unchanged, "Authorization: Bearer " + key + "\r\n"));
    CHECK(contains(unchanged, "Tenant: forged\r\n"));

    read.identityFields.clear();
    read.accountKey.clear();
    read.account = "acme";
    const std::string identified =
            wire::writeTargetRequest(read, "t1", std::chrono::milliseconds(5));
    CHECK(contains(identified, "\r\nTenant: acme\r\n"));
    CHECK_FALSE(contains(identified, "forged"));
    CHECK_FALSE(contains(identified, key));
}

TEST_CASE("a refusal for want of a key names the scheme that is expected")
{
    CallerReply refusal;
    refusal.status = 401;
    refusal.detail = "d";
    const std::string bytes = wire::writeCallerReply(refusal, "GET", false);
    CHECK(bytes.starts_with("HTTP/1.1 401 Unauthorized\r\n"));
    CHECK(contains(bytes, "\r\nWWW-Authenticate: Bearer\r\n"));
}
