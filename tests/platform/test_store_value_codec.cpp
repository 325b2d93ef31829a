#include "platform/store_call_codec.h"
#include "platform/store_value_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace lagoondeck;

namespace {

const std::string config =
        R"({"version":7,"routes":[{"name":"r1","host":"Leno.example","prefix":"/a/","route_type":"safe",)"
        R"("timeout_ms":600,"target_latency_ms":60,"priority":2,"gather":["s1","s2"],"attempts":2,)"
        R"("top_k":5,"min_coverage":0.75},{"name":"r2","host":"h","prefix":"/b/","route_type":"unsafe",)"
        R"("timeout_ms":6000,"service":"k","attempts":1},{"name":"r3","host":"h","prefix":"/c/",)"
        R"("route_type":"safe","timeout_ms":100,"attempts":2,"traffic_split":[{"service":"a","weight":3},)"
        R"({"service":"b","weight":1}]}],"services":[{"name":"s1","max_conns":30}],)"
        R"("limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

const std::string entry =
        R"({"service":"s1","address":"10.0.0.1:80","zone":"z","version":"v1","slots":3,"state":"ready",)"
        R"("warmup_left_ms":250,"sequence":4,"born":1700000000000})";

StoreChange targetItem(const std::string &value)
{
    return wire::readChange("servers/i-1", value, 3);
}

} // namespace

TEST_CASE("a configuration is decoded into routes, caps and limits")
{
    const StoreChange change = wire::readChange("op/config", config, 9);
    REQUIRE(change.kind == StoreKeyKind::Config);
    const auto routing = std::get<RoutingConfigPtr>(change.content);
    CHECK(routing->version == 7);
    REQUIRE(routing->routes.size() == 3);
    const Route &gather = routing->routes[0];
    CHECK(gather.host == "leno.example");
    CHECK(gather.idempotent);
    CHECK(gather.gather.size() == 2);
    CHECK(gather.topK == 5);
    CHECK(gather.minimumCoverage == 0.75);
    CHECK(gather.objective == std::chrono::milliseconds(60));
    CHECK_FALSE(routing->routes[1].idempotent);
    CHECK(routing->routes[1].objective == std::chrono::seconds(6));
    CHECK(routing->routes[2].split.size() == 2);
    CHECK(routing->connectionCaps.at(GroupName("s1")) == 30);
    CHECK(routing->limits.headerBytes == 100);
}

TEST_CASE("a target's entry is decoded with its id and start time")
{
    const auto target = std::get<TargetRecord>(targetItem(entry).content);
    CHECK(target.id == TargetId("i-1"));
    CHECK(target.group == GroupName("s1"));
    CHECK(target.startedAtMs == 1700000000000);
    CHECK(target.warmupLeft == std::chrono::milliseconds(250));
    CHECK_FALSE(target.leaving);
}

TEST_CASE("a malformed entry yields no target and states the problem")
{
    for (const char *malformed :
         {R"({"service":7,"address":"10.0.0.1:80","zone":"z","state":"ready"})",
          R"({"service":"s","address":"nowhere","zone":"z","state":"ready"})",
          R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"dozing"})",
          R"({"service":"s"})", "[]", "\xff\xfe", ""}) {
        const StoreChange change = targetItem(malformed);
        CHECK(std::holds_alternative<std::monostate>(change.content));
        CHECK_FALSE(change.problem.empty());
    }
}

TEST_CASE("an id may contain any character")
{
    CHECK(wire::readChange("servers/a/b", entry, 1).id == "a/b");
    CHECK(wire::readChange("other/a", entry, 1).kind == StoreKeyKind::Other);
    CHECK(wire::readChange("servers/", entry, 1).kind == StoreKeyKind::Other);
}

TEST_CASE("malformed values never crash the process")
{
    rc::prop("decoding random bytes either succeeds or states a problem", [](std::uint32_t seed) {
        std::mt19937 random(seed);
        std::string text = seed % 2 == 0 ? config : entry;
        for (std::uint32_t i = 0; i < 1 + seed % 5; ++i) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        if (seed % 3 == 0) {
            text.resize(random() % text.size());
        }
        const StoreChange change =
                wire::readChange(seed % 2 == 0 ? "op/config" : "servers/i", text, 1);
        RC_ASSERT(!change.problem.empty()
                  == std::holds_alternative<std::monostate>(change.content));
    });
}

TEST_CASE("the store's answers are mapped to their outcomes")
{
    const auto callStatusOf = [](int status, const std::string &body) {
        HttpMessage reply;
        reply.status = status;
        reply.body = body;
        return wire::readStoreAnswer(reply).status;
    };
    CHECK(callStatusOf(200, R"({"items":[],"has_more":false,"store_revision":5})")
          == StoreCallStatus::Done);
    CHECK(callStatusOf(404, "{}") == StoreCallStatus::NotFound);
    CHECK(callStatusOf(410, "") == StoreCallStatus::HistoryGone);
    CHECK(callStatusOf(412, "{}") == StoreCallStatus::ConditionFails);
    CHECK(callStatusOf(429, "") == StoreCallStatus::TooManyCalls);
    CHECK(callStatusOf(503, "") == StoreCallStatus::Unavailable);
    CHECK(callStatusOf(403, "") == StoreCallStatus::Refused);
    CHECK(callStatusOf(200, "half a bod") == StoreCallStatus::Unreadable);
    CHECK(callStatusOf(200, R"({"items":[{"key":1}]})") == StoreCallStatus::Unreadable);
}

TEST_CASE("every answer of the store tells its history")
{
    HttpMessage reply;
    reply.status = 410;
    CHECK(wire::readStoreAnswer(reply).history == 0);
    for (const int status : {200, 404, 410, 429, 503}) {
        reply.status = status;
        reply.body = "half a bod";
        reply.fields = {{"store-era", "7"}};
        CHECK(wire::readStoreAnswer(reply).history == 7);
        reply.fields = {{"Store-Era", "7x"}};
        CHECK(wire::readStoreAnswer(reply).history == 0);
    }
}

TEST_CASE("events of a watch keep their order and kinds")
{
    HttpMessage reply;
    reply.status = 200;
    reply.body =
            R"({"events":[{"key":"servers/a","value":"e30=","revision":4,"created":4,"lease":0},)"
            R"({"key":"servers/a","revision":5,"removed":true}],"store_revision":6})";
    const StoreAnswer answer = wire::readStoreAnswer(reply);
    REQUIRE(answer.changes.size() == 2);
    CHECK_FALSE(answer.changes[0].removed);
    CHECK(answer.changes[1].removed);
    CHECK(answer.changes[1].revision == 5);
    CHECK(answer.revision == 6);
}

TEST_CASE("a member's registration is decoded to the member that was encoded")
{
    const MemberRecord member {InstanceId("n1"), "127.0.0.1:7", FailureDomain("a"), 1500};
    const StoreChange change =
            wire::readChange("lagoondeck/members/n1", wire::writeMember(member), 2);
    CHECK(std::get<MemberRecord>(change.content) == member);
}

TEST_CASE("a member of an earlier version is registered without a capacity to coordinate")
{
    const StoreChange change =
            wire::readChange("lagoondeck/members/n1", R"({"peerAddress":"127.0.0.1:7"})", 2);
    const auto &member = std::get<MemberRecord>(change.content);
    CHECK(member.peerAddress == "127.0.0.1:7");
    CHECK(member.partsPerSecond == 0);
}

TEST_CASE("a quarantine is decoded to the value that was encoded")
{
    const QuarantineRecord quarantine {18446744073709551615ULL, 5};
    const StoreChange change = wire::readChange("lagoondeck/quarantine/18446744073709551615",
                                                wire::writeQuarantine(quarantine), 3);
    REQUIRE(change.kind == StoreKeyKind::Quarantine);
    CHECK(std::get<QuarantineRecord>(change.content) == quarantine);
    for (const auto &[id, text] : {std::pair("12x", R"({"crashes":3})"), std::pair("12", "{}"),
                                   std::pair("12", R"({"crashes":0})"), std::pair("12", "x")}) {
        const StoreChange malformed =
                wire::readChange(std::string("lagoondeck/quarantine/") + id, text, 3);
        CHECK(std::holds_alternative<std::monostate>(malformed.content));
        CHECK_FALSE(malformed.problem.empty());
    }
    const std::string call = wire::writeStoreCall(RecordQuarantine {quarantine, 9}, "s");
    CHECK(call.find("lagoondeck/quarantine/18446744073709551615") != std::string::npos);
    CHECK(call.find("\"lease\":9") != std::string::npos);
}

namespace {

const std::string secret = "secret-5b1e";

/// A configuration with the given list of accounts.
std::string configWith(const std::string &accounts)
{
    return R"({"version":8,"routes":[],"tenants":)" + accounts + "}";
}

RoutingConfigPtr readAccounts(const std::string &accounts)
{
    const StoreChange change = wire::readChange("op/config", configWith(accounts), 1);
    const auto *routing = std::get_if<RoutingConfigPtr>(&change.content);
    return routing == nullptr ? nullptr : *routing;
}

} // namespace

TEST_CASE("client accounts are decoded with their keys and limits")
{
    const RoutingConfigPtr routing = readAccounts(
            R"([{"name":"acme","api_keys":["k1","k2"],"priority":0,"rate_per_s":2.5,"burst":7,)"
            R"("allowed_regions":["east"],"note":"x"},{"name":"b"}])");
    REQUIRE(routing != nullptr);
    REQUIRE(routing->accounts.size() == 2);
    const ClientAccount &account = routing->accounts[0];
    CHECK(account.name == "acme");
    CHECK(account.keys == std::vector<std::string> {"k1", "k2"});
    CHECK(account.priority == 0U);
    CHECK(account.requestsPerSecond == 2.5);
    CHECK(account.burst == 7.0);
    CHECK(account.allowedRegions == std::vector<Region> {Region("east")});
    CHECK_FALSE(routing->accounts[1].priority);
    CHECK_FALSE(routing->accounts[1].isCapped());
    CHECK(readAccounts("null")->accounts.empty());
    CHECK(readAccounts("[]")->accounts.empty());
}

TEST_CASE("a route may be public and name regions; a service may limit its cold targets")
{
    const StoreChange change = wire::readChange(
            "op/config",
            R"({"version":8,"routes":[{"name":"r","host":"h","prefix":"/","service":"s",)"
            R"("public":true,"allowed_regions":["e","w"]},{"name":"q","host":"h","prefix":"/q",)"
            R"("service":"s"}],"services":[{"name":"s","warmup_s":1.5,"warmup_per_s":4},)"
            R"({"name":"u","warmup_s":9}]})",
            1);
    const auto routing = std::get<RoutingConfigPtr>(change.content);
    CHECK(routing->routes[0].isPublic);
    CHECK(routing->routes[0].allowedRegions.size() == 2);
    CHECK_FALSE(routing->routes[1].isPublic);
    CHECK(routing->routes[1].allowedRegions.empty());
    REQUIRE(routing->coldLimits.size() == 1);
    CHECK(routing->coldLimits.at(GroupName("s")).warmup == std::chrono::milliseconds(1500));
    CHECK(routing->coldLimits.at(GroupName("s")).requestsPerSecond == 4.0);
}

TEST_CASE("an evacuation is decoded to the failure domain, whatever its value")
{
    for (const char *value : {"{}", "", "[1]"}) {
        const StoreChange change = wire::readChange("op/evacuate/east-1", value, 4);
        CHECK(change.kind == StoreKeyKind::Evacuation);
        CHECK(change.id == "east-1");
        CHECK(change.problem.empty());
    }
    CHECK(wire::readRemoval("op/evacuate/east-1", 5).kind == StoreKeyKind::Evacuation);
    CHECK(wire::readChange("op/evacuate/", "{}", 1).kind == StoreKeyKind::Other);
}

// Guards against a name that adds header fields to the requests for targets, or that stands for no
// account at all: requests of an account without a name pass for requests of a member without
// accounts.
TEST_CASE("a configuration is refused if an account's name can't be sent in a header field")
{
    for (const char *name :
         {"", " ", " a", "a ", "a\\r\\nX-Y: z", "a\\nb", "a\\u0000b", "a\\tb", "\\u007f"}) {
        INFO(name);
        CHECK(readAccounts(R"([{"name":")" + std::string(name) + R"(","api_keys":["k"]}])")
              == nullptr);
    }
    for (const char *name : {"a", "a b", "a/b:c", "\\u00e9"}) {
        INFO(name);
        CHECK(readAccounts(R"([{"name":")" + std::string(name) + R"("}])") != nullptr);
    }
}

TEST_CASE("a configuration is refused if its accounts have the wrong form")
{
    for (const char *accounts :
         {"7", "{}", R"(["a"])", R"([{"api_keys":["k"]}])", R"([{"name":7}])",
          R"([{"name":"a","api_keys":"k"}])", R"([{"name":"a","api_keys":[7]}])",
          R"([{"name":"a","rate_per_s":-1}])", R"([{"name":"a","burst":"much"}])",
          R"([{"name":"a","priority":-1}])", R"([{"name":"a","allowed_regions":{}}])"}) {
        INFO(accounts);
        CHECK(readAccounts(accounts) == nullptr);
    }
}

// Guards against a key in the log: the problem of a refused configuration is logged.
TEST_CASE("the problem of a configuration does not quote it")
{
    const std::string accounts = R"([{"name":"a","api_keys":[")" + secret + R"("]}])";
    const std::string valid = configWith(accounts);
    const std::size_t quoteAt = valid.find(secret) + secret.size();
    for (const std::string &malformed :
         {valid.substr(0, quoteAt), valid.substr(0, quoteAt - 1) + "\n" + valid.substr(quoteAt),
          valid.substr(0, quoteAt + 1) + " x" + valid.substr(quoteAt + 1),
          valid.substr(0, quoteAt) + "\xff" + valid.substr(quoteAt),
          configWith(R"([{"name":"a","api_keys":")" + secret + R"("}])"),
          configWith(R"([{"name":"a","api_keys":[")" + secret + R"(",7]}])"),
          configWith(R"([{"name":"a","api_keys":{")" + secret + R"(":1}}])"),
          configWith(R"([{"name":"a","rate_per_s":")" + secret + R"("}])"), secret}) {
        const StoreChange change = wire::readChange("op/config", malformed, 1);
        INFO(change.problem);
        CHECK_FALSE(change.problem.empty());
        CHECK(change.problem != "the value can't be read");
        CHECK(change.problem.find("secret") == std::string::npos);
    }
}

// Guards against an error without a type: the library reports a number beyond the range in another
// way than other errors.
TEST_CASE("a number beyond the range of numbers is named as the problem of the value")
{
    for (const std::string &text : {std::string("1e999"), configWith("[1e999]")}) {
        CHECK(wire::readChange("op/config", text, 1).problem == "a number is out of range");
    }
}
