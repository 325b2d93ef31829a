// Callers' keys from the bytes of a request to the bytes for a target.

#include "drivers/edge/http_reader.h"
#include "gateway_node_fixture.h"
#include "logic/accounts/account_gate.h"
#include "platform/message_codec.h"

#include <string>

using namespace lagoondeck;
using namespace lagoondeck::edgetest;

namespace {

const std::string key = "k-5d80";

/// Returns the request that is read from the bytes.
ForwardedRequest readBytes(std::string bytes)
{
    HttpReader reader(HttpReader::Kind::Request, 4096, 4096);
    REQUIRE(reader.read(bytes) == ReadState::Complete);
    const auto request = wire::readRequest(reader.take());
    REQUIRE(request);
    return *request;
}

/// Returns what a target gets of a request on a public route, in a configuration with an account.
std::string targetBytes(const ForwardedRequest &request)
{
    ClientAccount account;
    account.name = "acme";
    account.keys = {key};
    Route route;
    route.isPublic = true;
    const std::vector<ClientAccount> accounts {account};
    const auto identified = identify(std::make_shared<const ForwardedRequest>(request), route,
                                     AccountDirectory(accounts));
    REQUIRE(identified);
    return wire::writeTargetRequest(*identified->request, "t", 5ms);
}

const std::string begin = "POST /p HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n";

/// The text of the fixture's configuration with one account, whose routes need a key but for one.
std::string configWithAccount(int version, const std::string &accountKey)
{
    std::string text = configVersion(version);
    text.insert(1, R"("tenants":[{"name":"acme","api_keys":[")" + accountKey + R"("]}],)");
    return text;
}

std::string requestBytes(const std::string &id, const std::string &fields)
{
    return "GET /one/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nRequest-Id: " + id + "\r\n"
            + fields + "\r\n";
}

} // namespace

// Guards against a key that reaches a target because it came in an unusual place.
TEST_CASE("no form in which a request carries a key lets it through to a target")
{
    const std::string field = "Authorization: Bearer " + key + "\r\n";
    const std::string none = "Content-Length: 0\r\n\r\n";
    for (const std::string &bytes :
         {begin + field + none, begin + field + field + none,
          begin + "aUTHORIZATION:bearer  " + key + "\t \r\n" + none,
          begin + "Authorization: Bearer\r\n " + key + "\r\n" + none,
          begin + "Connection: Authorization, close\r\n" + field + none,
          begin + "Authorization: Basic " + key + "\r\n" + none,
          begin + "Authorization: " + key + "\r\n" + none,
          begin + "Proxy-Authorization: Bearer " + key + "\r\n" + none,
          begin + "Tenant: " + key + "\r\ntenant: " + key + "\r\n" + none,
          begin + "Transfer-Encoding: chunked\r\nTrailer: Authorization\r\n\r\n1\r\nx\r\n0\r\n"
                  + field + "\r\n",
          begin + field + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + field + "Tenant: " + key
                  + "\r\n\r\n"}) {
        INFO(bytes);
        const std::string sent = targetBytes(readBytes(bytes));
        CHECK(sent.find(key) == std::string::npos);
        CHECK(sent.find("uthorization") == std::string::npos);
    }
}

TEST_CASE("a key in a trailer counts as one in the header")
{
    const std::string field = "Authorization: Bearer " + key + "\r\n";
    const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
    CHECK(readBytes(begin + chunks + field + "\r\n").accountKey == key);
    CHECK(readBytes(begin + field + chunks + field + "\r\n").accountKey.empty());
}

TEST_CASE("a target gets the name of the account that the key belongs to")
{
    const std::string sent = targetBytes(
            readBytes(begin + "authorization: BEARER " + key + "\r\nTENANT: forged\r\n\r\n"));
    CHECK(sent.find("\r\nTenant: acme\r\n") != std::string::npos);
    CHECK(sent.find("forged") == std::string::npos);
}

TEST_CASE("refusals of malformed requests do not repeat what was sent")
{
    GatewayFixture fixture;
    const std::string field = "Authorization: Bearer " + key + "\r\n";
    for (const std::string &bytes :
         {"GET /one/x HTTP/1.1\r\nAuthorization : Bearer " + key + "\r\n\r\n",
          "GET /one/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + field + "\r\n",
          "GET one/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nConnection: close\r\n" + field
                  + "\r\n",
          requestBytes("r", field + "X: " + std::string(3000, 'x') + "\r\n"),
          requestBytes("r", field + "Content-Length: 9999\r\n"),
          requestBytes("r", field + "Deadline-Ms: " + key + "\r\n")}) {
        const std::string reply = fixture.sendRaw(bytes);
        INFO(reply);
        CHECK(reply.starts_with("HTTP/1.1 4"));
        CHECK(reply.find(key) == std::string::npos);
    }
}

TEST_CASE("a gateway admits keys by the configuration that the store holds at present")
{
    GatewayFixture fixture;
    REQUIRE(fixture.readyStatus() == 200);
    const std::string field = "Authorization: Bearer " + key + "\r\n";
    CHECK(fixture.sendRaw(requestBytes("r1", "")).starts_with("HTTP/1.1 200"));

    fixture.store.put("op/config", configWithAccount(4, key));
    REQUIRE(fixture.waitForStatus("\"configVersion\":4", 5s));
    const std::string refusal = fixture.sendRaw(requestBytes("r2", ""));
    CHECK(refusal.starts_with("HTTP/1.1 401 Unauthorized\r\n"));
    CHECK(refusal.find("WWW-Authenticate: Bearer") != std::string::npos);
    CHECK_FALSE(fixture.hasRun("r2"));
    CHECK(fixture.sendRaw(requestBytes("r3", field)).starts_with("HTTP/1.1 200"));
    CHECK(fixture.sendRaw(requestBytes("r4", field + field)).starts_with("HTTP/1.1 401"));
    CHECK(fixture.status().find(key) == std::string::npos);

    fixture.store.put("op/config", configWithAccount(5, "k-other"));
    REQUIRE(fixture.waitForStatus("\"configVersion\":5", 5s));
    CHECK(fixture.sendRaw(requestBytes("r5", field)).starts_with("HTTP/1.1 401"));
    CHECK_FALSE(fixture.hasRun("r5"));
}
