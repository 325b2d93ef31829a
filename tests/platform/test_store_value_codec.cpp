#include "platform/store_call_codec.h"
#include "platform/store_value_codec.h"

#include <catch2/catch.hpp>
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
