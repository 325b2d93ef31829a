#include "served_loop.h"
#include "standins/base64.h"
#include "standins/store_service.h"
#include "standins/store_state.h"

#include <Poco/Exception.h>
#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <string>

using namespace lagoondeck;

namespace {

nlohmann::json putIf(const std::string &key, const std::string &value, std::uint64_t modRevision,
                     std::int64_t lease = 0)
{
    const nlohmann::json put {
            {"key", encodeBase64(key)}, {"value", encodeBase64(value)}, {"lease", lease}};
    return {{"compare",
             {{{"key", encodeBase64(key)},
               {"target", "MOD"},
               {"result", "EQUAL"},
               {"mod_revision", std::to_string(modRevision)}}}},
            {"success", {{{"request_put", put}}}},
            {"failure", {{{"request_range", {{"key", encodeBase64(key)}}}}}}};
}

nlohmann::json rangeOf(const std::string &key)
{
    return {{"key", encodeBase64(key)}};
}

} // namespace

TEST_CASE("Of two transactions that compare with the same revision only one succeeds")
{
    StoreState state;
    CHECK(state.transact(putIf("a", "first", 0)).at("succeeded") == true);
    const nlohmann::json second = state.transact(putIf("a", "second", 0));
    CHECK(second.at("succeeded") == false);
    const auto &seen = second.at("responses").at(0).at("response_range").at("kvs").at(0);
    CHECK(decodeBase64(seen.at("value")) == "first");
    CHECK(seen.at("mod_revision") == "2");
    CHECK(state.transact(putIf("a", "third", 2)).at("succeeded") == true);
    CHECK(state.revision() == 3);
}

TEST_CASE("A failed transaction does not change the revision")
{
    StoreState state;
    state.transact(putIf("a", "first", 7));
    CHECK(state.revision() == 1);
    CHECK(state.range(rangeOf("a")).at("count") == "0");
}

TEST_CASE("The end of a lease deletes its keys in one revision")
{
    StoreState state;
    const std::int64_t lease = state.grantLease();
    state.transact(putIf("a", "1", 0, lease));
    state.transact(putIf("b", "2", 0, lease));
    state.transact(putIf("c", "3", 0));
    state.endLease(lease);
    CHECK(state.range(rangeOf("a")).at("count") == "0");
    CHECK(state.range(rangeOf("c")).at("count") == "1");
    CHECK(state.revision() == 5);
}

TEST_CASE("A store restored to an older revision has the values of that revision")
{
    StoreState state;
    state.transact(putIf("a", "old", 0));
    state.transact(putIf("a", "new", 2));
    state.restoreRevision(2);
    CHECK(state.revision() == 2);
    CHECK(decodeBase64(state.range(rangeOf("a")).at("kvs").at(0).at("value")) == "old");
}

TEST_CASE("Base64 encoding and decoding preserves any bytes")
{
    rc::prop("decode(encode(bytes)) == bytes", [](const std::string &bytes) {
        RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes);
    });
}

TEST_CASE("The faults of the store can be changed while it serves")
{
    EventLoop loop;
    StoreService store(loop, "127.0.0.1:0", "127.0.0.1:0");
    store.start();
    const std::string address = store.boundAddress();
    const ServedLoop served(loop);
    TestClient control(store.controlAddress());

    SECTION("a transaction takes effect although its reply is lost")
    {
        control.call("POST", "/v1/control", R"({"lostReplies":1.0})");
        TestClient writer(address);
        writer.send("POST", "/v3/kv/txn", putIf("a", "x", 0).dump());
        CHECK_THROWS_AS(writer.receive(), Poco::Exception);
        const CallReply read =
                TestClient(address).call("POST", "/v3/kv/range", rangeOf("a").dump());
        CHECK(nlohmann::json::parse(read.body).at("count") == "1");
    }
    SECTION("connections are refused during an outage")
    {
        control.call("POST", "/v1/control", R"({"outage":true})");
        CHECK_THROWS_AS(TestClient(address).call("POST", "/v3/kv/range", rangeOf("a").dump()),
                        Poco::Exception);
        control.call("POST", "/v1/control", R"({"outage":false})");
        CHECK(TestClient(address).call("POST", "/v3/kv/range", rangeOf("a").dump()).status()
              == 200);
    }
    SECTION("calls above the cap are refused and have no effect")
    {
        control.call("POST", "/v1/control", R"({"writesPerSecond":0})");
        TestClient writer(address);
        CHECK(writer.call("POST", "/v3/kv/txn", putIf("a", "x", 0).dump()).status() == 429);
        const CallReply read = writer.call("POST", "/v3/kv/range", rangeOf("a").dump());
        CHECK(nlohmann::json::parse(read.body).at("count") == "0");
    }
    SECTION("a watch reports past and new writes")
    {
        TestClient writer(address);
        writer.call("POST", "/v3/kv/txn", putIf("a", "x", 0).dump());
        TestClient watcher(address);
        const nlohmann::json create {{"key", encodeBase64("a")}, {"start_revision", 1}};
        std::istream &lines =
                watcher.openStream("/v3/watch", nlohmann::json {{"create_request", create}}.dump());
        std::string line;
        std::getline(lines, line);
        CHECK(nlohmann::json::parse(line).at("result").at("created") == true);
        std::getline(lines, line);
        const nlohmann::json past = nlohmann::json::parse(line);
        CHECK(past.at("result").at("events").at(0).at("kv").at("mod_revision") == "2");
        writer.call("POST", "/v3/kv/txn", putIf("a", "y", 2).dump());
        std::getline(lines, line);
        const nlohmann::json fresh = nlohmann::json::parse(line);
        CHECK(fresh.at("result").at("events").at(0).at("kv").at("mod_revision") == "3");
    }
    SECTION("a lease that is not renewed expires and its keys are deleted")
    {
        TestClient writer(address);
        const CallReply granted = writer.call("POST", "/v3/lease/grant", R"({"TTL":1})");
        const std::string lease = nlohmann::json::parse(granted.body).at("ID");
        writer.call("POST", "/v3/kv/txn", putIf("a", "x", 0, std::stoll(lease)).dump());
        std::this_thread::sleep_for(std::chrono::milliseconds(1300));
        const CallReply read = writer.call("POST", "/v3/kv/range", rangeOf("a").dump());
        CHECK(nlohmann::json::parse(read.body).at("count") == "0");
    }
}
