#include "operator/explain.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace lagoondeck;

namespace {

const std::string lines =
        "0.1 n1 {\"time\":\"2026-01-01T00:00:01.000Z\",\"instance\":\"n1\",\"event\":210,"
        "\"name\":\"StoreUnavailable\",\"verdict\":\"7\"}\n"
        "{\"time\":\"2026-01-01T00:00:01.500Z\",\"instance\":\"n2\",\"event\":200,"
        "\"name\":\"CatalogueRevised\",\"version\":\"4\"}\n"
        "{\"time\":\"2026-01-01T00:00:02.000Z\",\"instance\":\"n1\",\"event\":601,"
        "\"name\":\"RequestTroubled\",\"request\":\"abc\",\"outcome\":\"partial\","
        "\"reason\":\"objective-reached\",\"route\":\"r\",\"configVersion\":4,\"beliefAgeMs\":900,"
        "\"elapsedMs\":53,\"objectiveMs\":60,\"partsNeeded\":2,\"partsAnswered\":1,"
        "\"steps\":\"0.0 send p0 t1; 0.0 send p1 t2; 9.0 answered p0 t1; 20.0 hedge p1 t3\"}\n"
        "{\"time\":\"2026-01-01T00:00:02.100Z\",\"instance\":\"n1\",\"event\":601,"
        "\"name\":\"RequestTroubled\",\"request\":\"other\"}\n"
        "{half a line\n";

} // namespace

TEST_CASE("a request's trace shows its outcome, its steps and the events on its instance")
{
    RequestTrace trace("abc");
    std::istringstream input(lines);
    trace.read(input);
    REQUIRE(trace.isFound());
    std::ostringstream out;
    trace.writeText(out);
    const std::string text = out.str();
    CHECK(text.find("partial (objective-reached) after 53 ms, 1 of 2 parts") != std::string::npos);
    CHECK(text.find("part 1 (last: hedge t3 at 20.0 ms)") != std::string::npos);
    CHECK(text.find("StoreUnavailable") != std::string::npos);
    CHECK(text.find("CatalogueRevised") == std::string::npos);
    CHECK(text.find("1 unreadable") != std::string::npos);
    CHECK(trace.toJson()["ends"][0]["steps"].size() == 4);
}

TEST_CASE("a request without a log line is reported as not found")
{
    RequestTrace trace("unknown");
    std::istringstream input(lines);
    trace.read(input);
    CHECK_FALSE(trace.isFound());
}

TEST_CASE("each reason has a description of its cause")
{
    for (const char *reason :
         {"no-configuration", "no-route", "no-target", "target-failed", "targets-limited",
          "account-cap-reached", "read-late", "targets-failed", "deadline-passed", "caller-left"}) {
        CHECK(describeCause({{"reason", reason}}) != "nothing went wrong");
    }
    CHECK(describeCause({{"reason", "complete"}, {"outcome", "late"}, {"objectiveMs", 60}})
          == "its last part answered after the objective of 60 ms");
}

TEST_CASE("the cause of a refusal by a cap names the account and tells what decided")
{
    for (const char *decidedBy : {"holders", "allowance"}) {
        const std::string cause = describeCause(
                {{"reason", "account-cap-reached"}, {"account", "acme"}, {"decidedBy", decidedBy}});
        CHECK(cause.find("acme") != std::string::npos);
        CHECK((cause.find("holders") != std::string::npos)
              == (decidedBy == std::string("allowance")));
    }
}

TEST_CASE("the cause of a delegated request's trouble names its coordinator")
{
    for (const char *reason : {"objective-reached", "coverage-reached", "targets-failed",
                               "deadline-passed", "coordinator-silent"}) {
        const std::string cause = describeCause({{"reason", reason}, {"coordinator", "n7"}});
        CHECK(cause.find("n7") != std::string::npos);
    }
    CHECK(describeCause({{"reason", "complete"},
                         {"outcome", "late"},
                         {"objectiveMs", 60},
                         {"coordinator", "n7"}})
          == "its last part answered after the objective of 60 ms");
}
