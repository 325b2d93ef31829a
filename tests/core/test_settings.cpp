#include "core/address.h"
#include "core/errors.h"
#include "core/nearest_name.h"
#include "core/settings_file.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

using namespace lagoondeck;
namespace leaf = boost::leaf;

namespace {

nlohmann::json validSettings()
{
    return {{"id", "entry-0"},
            {"failureDomain", "luzon-a"},
            {"httpAddress", "127.0.0.1:7101"},
            {"peerAddress", "127.0.0.1:7001"},
            {"storeAddress", "127.0.0.1:7201"},
            {"instanceListAddress", "127.0.0.1:7202"}};
}

/// Returns the problems of a settings text. A problem without a path means that the text is not
/// JSON.
std::vector<FieldProblem> problemsOf(const std::string &text)
{
    return leaf::try_handle_all(
            [&]() -> leaf::result<std::vector<FieldProblem>> {
                BOOST_LEAF_CHECK(parseSettings(text));
                return std::vector<FieldProblem> {};
            },
            [](const InvalidInput &input) { return input.problems; },
            [](const MalformedInput &input) {
                return std::vector<FieldProblem> {{"", FieldProblemKind::BadFormat, input.detail}};
            },
            [] {
                return std::vector<FieldProblem> {{"?", FieldProblemKind::BadFormat, "?"}};
            });
}

/// Returns the problem that arises when one setting is changed.
FieldProblem problemWhenSet(const std::string &name, const nlohmann::json &value)
{
    nlohmann::json json = validSettings();
    json[name] = value;
    const auto problems = problemsOf(json.dump());
    return problems.size() == 1 ? problems.front()
                                : FieldProblem {std::to_string(problems.size()) + " problems"};
}

} // namespace

TEST_CASE("The example settings of both sites pass the checks")
{
    for (const std::string site : {"luzon", "ashanti"}) {
        const std::string path = LAGOONDECK_SOURCE_DIR "/misc/settings/" + site + ".json";
        const auto id = leaf::try_handle_all(
                [&]() -> leaf::result<std::string> {
                    BOOST_LEAF_AUTO(settings, readSettingsFile(path));
                    return settings.id.value;
                },
                [](const InvalidInput &input) { return input.problems.front().path; },
                [](const MalformedInput &input) { return input.detail; },
                [] { return std::string("unreadable"); });
        CHECK(id == site + "-entry-0");
    }
}

TEST_CASE("Each wrong setting is reported with its path and kind")
{
    CHECK(problemsOf(validSettings().dump()).empty());
    const auto check = [](const std::string &name, const nlohmann::json &value,
                          FieldProblemKind kind) {
        const FieldProblem problem = problemWhenSet(name, value);
        INFO(problem.detail);
        CHECK(problem.path == name);
        CHECK(problem.kind == kind);
    };
    check("stopBoundMs", "20s", FieldProblemKind::WrongType);
    check("stopBoundMs", -1, FieldProblemKind::OutOfRange);
    check("callerThreads", 0, FieldProblemKind::OutOfRange);
    check("callerThreads", 1.5, FieldProblemKind::WrongType);
    check("maximumBodyBytes", "1 MB", FieldProblemKind::WrongType);
    check("policy", "best", FieldProblemKind::OutOfRange);
    check("id", "", FieldProblemKind::BadFormat);
    check("id", "a b", FieldProblemKind::BadFormat);
    check("failureDomain", 3, FieldProblemKind::WrongType);
    check("httpAddress", "localhost:7101", FieldProblemKind::BadFormat);
    check("httpAddress", "127.0.0.1", FieldProblemKind::BadFormat);
    check("storeAddress", "http://127.0.0.1:1", FieldProblemKind::BadFormat);
    check("peerKey", "short", FieldProblemKind::BadFormat);
    check("peerKey", std::string(39, 'a') + "~", FieldProblemKind::BadFormat);
    check("peerKey", std::string(40, '#'), FieldProblemKind::BadFormat);
    check("peerAddress", "127.0.0.1:7101", FieldProblemKind::Conflict);
    check("peerAddress", "0.0.0.0:7101", FieldProblemKind::Conflict);
    check("storeAddress", "127.0.0.1:7001", FieldProblemKind::Conflict);
}

TEST_CASE("An unknown setting is refused, and the error suggests a similar name")
{
    CHECK(problemWhenSet("stopBound", 5).detail == "no such field; did you mean stopBoundMs?");
    CHECK(problemWhenSet("stopBoundSeconds", 5).detail
          == "no such field; did you mean stopBoundMs?");
    CHECK(problemWhenSet("httpAdress", "x").detail == "no such field; did you mean httpAddress?");
    CHECK(problemWhenSet("colour", 1).detail == "no such field");
    CHECK(problemWhenSet("colour", 1).kind == FieldProblemKind::UnknownField);
}

TEST_CASE("All wrong settings are reported together, each of them once")
{
    const auto problems = problemsOf(R"({"id": 5, "colour": 1, "stopBoundMs": "1"})");
    std::set<std::string> paths;
    for (const FieldProblem &problem : problems) {
        CHECK(paths.insert(problem.path).second);
    }
    CHECK(paths.size() == 8);
}

TEST_CASE("Only an IP address with a port is parsed as an address")
{
    CHECK(parseAddress("127.0.0.1:1")->port == 1);
    CHECK(parseAddress("[::1]:65535")->host == "::1");
    for (const char *wrong : {"", ":", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "1.2.3:4",
                              "::1:80", "127.0.0.1:+5", "127.0.0.1:5 ", "a:5", "[]:5"}) {
        INFO(wrong);
        CHECK_FALSE(parseAddress(wrong));
    }
    rc::prop("arbitrary text is parsed or refused", [](const std::string &text) {
        parseAddress(text);
        parseAddress("127.0.0.1:" + text);
    });
    rc::prop("every IPv4 address is read back", [](std::uint8_t a, std::uint8_t b) {
        const auto port = *rc::gen::inRange(1, 65536);
        const std::string host =
                std::to_string(a) + "." + std::to_string(b) + ".0." + std::to_string(a);
        const auto address = parseAddress(host + ":" + std::to_string(port));
        RC_ASSERT(address.has_value());
        RC_ASSERT(address->host == host);
        RC_ASSERT(address->port == static_cast<unsigned>(port));
    });
}

TEST_CASE("The nearest known name is found only when it is similar")
{
    const std::vector<std::string> known {"rate", "concurrency"};
    CHECK(nearestName("Rate", known) == "rate");
    CHECK(nearestName("concurency", known) == "concurrency");
    CHECK(nearestName("x", known).empty());
    CHECK(nearestName(std::string(1000, 'r'), known).empty());
}
