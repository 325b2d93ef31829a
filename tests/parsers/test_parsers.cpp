#include "core/catalogue_codec.h"
#include "core/errors.h"
#include "core/instance_list_codec.h"
#include "core/json_input.h"
#include "core/settings_file.h"
#include "drivers/caller_codec.h"
#include "drivers/store_codec.h"
#include "mutation.h"
#include "platform/store_value_codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <functional>
#include <unistd.h>

using namespace lagoondeck;
using namespace lagoondeck::testing;
namespace leaf = boost::leaf;

namespace {

/// The result of parsing a text. Untyped means any other error, which is a fault of the parser.
enum class ParseStatus {
    Read,
    Malformed,
    Invalid,
    Untyped,
};

using Parser = std::function<leaf::result<void>(std::string_view)>;

template <typename Parse>
Parser parserOf(Parse parse)
{
    return [parse](std::string_view text) -> leaf::result<void> {
        BOOST_LEAF_CHECK(parse(text));
        return {};
    };
}

ParseStatus tryParse(const Parser &parser, const std::string &text)
{
    return leaf::try_handle_all(
            [&]() -> leaf::result<ParseStatus> {
                BOOST_LEAF_CHECK(parser(text));
                return ParseStatus::Read;
            },
            [](const MalformedInput &) { return ParseStatus::Malformed; },
            [](const InvalidInput &input) {
                return input.problems.empty() ? ParseStatus::Untyped : ParseStatus::Invalid;
            },
            [] { return ParseStatus::Untyped; });
}

/// A parser with a valid text for it.
struct ParserCase
{
    std::string name;
    Parser parser;
    std::string valid;
};

std::vector<ParserCase> parserCases()
{
    const std::string entry =
            R"({"name":"fit","owner":"o","class":"c","service":"s","limits":{"ratePerSecond":5,)"
            R"("concurrency":6},"priority":1,"deadlineMs":150.5,"minimumCoverage":0.9,)"
            R"("hedgeBudget":0.05,"canary":true,"merge":"topK","topK":7})";
    const std::string settings =
            R"({"id":"e","failureDomain":"d","httpAddress":"127.0.0.1:1","peerAddress":)"
            R"("127.0.0.1:2","storeAddress":"127.0.0.1:3","instanceListAddress":"127.0.0.1:4",)"
            R"("peerKey":"","policy":"full","seed":1,"maximumBodyBytes":5,"callerThreads":6,)"
            R"("stopBoundMs":7,"instanceListIntervalMs":80,"expectedInstances":9,)"
            R"("logDirectory":""})";
    const std::string keyValue =
            R"({"key":"aw==","value":"djE=","mod_revision":"7","create_revision":3})";
    return {
            {"settings", parserOf(parseSettings), settings},
            {"entry", parserOf(parseCatalogueEntry), entry},
            {"change", parserOf(parseCatalogueChange),
             R"({"revision":3,"changeId":"i","author":"a","name":"fit","acceptedAtUs":5,"entry":)"
                     + entry + "}"},
            {"head", parserOf(parseCatalogueHead), R"({"revision":3,"changeId":"i"})"},
            {"instances", parserOf(parseInstanceList),
             R"({"targets":[{"id":"t","service":"s","shard":0,"address":"127.0.0.1:1",)"
             R"("failureDomain":"d","state":"live","slots":3,"connectionCap":30}],)"
             R"("entries":[{"id":"e","peerAddress":"127.0.0.1:2","httpAddress":"127.0.0.1:3",)"
             R"("failureDomain":"d","state":"leaving"}]})"},
            {"range",
             parserOf([](std::string_view text) { return parseStoreReply(StoreRange {}, text); }),
             R"({"header":{"revision":"9"},"kvs":[)" + keyValue + R"(],"count":"1"})"},
            {"transaction", parserOf([](std::string_view text) {
                 return parseStoreReply(StoreTransaction {}, text);
             }),
             R"({"header":{"revision":9},"succeeded":false,"responses":[{"response_range":{"kvs":[)"
                     + keyValue + R"(]}},{"response_put":{}}]})"},
            {"lease", parserOf([](std::string_view text) {
                 return parseStoreReply(StoreLeaseGrant {}, text);
             }),
             R"({"header":{},"ID":"77","TTL":"5"})"},
            {"watch", parserOf(parseWatchBatch),
             R"({"result":{"header":{"revision":"4"},"created":true,"events":[{"type":"DELETE",)"
             R"("kv":)"
                     + keyValue + "}]}}"},
            {"routing", parserOf(wire::readConfig),
             R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/","service":"s",)"
             R"("timeout_ms":600,"public":true,"allowed_regions":["e"]}],"services":[{"name":"s",)"
             R"("max_conns":3,"warmup_s":2.5,"warmup_per_s":4}],"tenants":[{"name":"acme",)"
             R"("api_keys":["k1","k2"],"priority":2,"rate_per_s":0.5,"burst":3,)"
             R"("allowed_regions":["e","w"]}],"limits":{"max_header_bytes":100}})"},
            {"caller", parserOf(parseCallerRequest),
             R"({"requestId":"r","caller":"c","deadlineMs":150,"idempotent":true,)"
             R"("minimumCoverage":1.0,"shard":3,"issuedAtMs":17963,"body":{"a":[1]}})"},
    };
}

std::string nested(std::size_t depth, const std::string &open)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i) {
        text += open;
    }
    return text;
}

} // namespace

TEST_CASE("Each parser accepts its valid text")
{
    for (const ParserCase &parserCase : parserCases()) {
        INFO(parserCase.name);
        CHECK(tryParse(parserCase.parser, parserCase.valid) == ParseStatus::Read);
    }
}

TEST_CASE("A mutated text is parsed or refused with a typed error")
{
    for (const ParserCase &parserCase : parserCases()) {
        rc::prop(parserCase.name, [&] {
            const std::string text = mutated(parserCase.valid);
            RC_ASSERT(tryParse(parserCase.parser, text) != ParseStatus::Untyped);
        });
    }
}

TEST_CASE("Arbitrary bytes are parsed or refused with a typed error")
{
    for (const ParserCase &parserCase : parserCases()) {
        rc::prop(parserCase.name, [&](const std::string &text) {
            RC_ASSERT(tryParse(parserCase.parser, text) != ParseStatus::Untyped);
        });
    }
}

TEST_CASE("A truncated text is never accepted")
{
    for (const ParserCase &parserCase : parserCases()) {
        for (std::size_t length = 0; length < parserCase.valid.size(); ++length) {
            INFO(parserCase.name << " cut at " << length);
            CHECK(tryParse(parserCase.parser, parserCase.valid.substr(0, length))
                  == ParseStatus::Malformed);
        }
    }
}

TEST_CASE("Deep nesting is refused before it exhausts the stack")
{
    constexpr std::size_t deep = 2'000'000;
    for (const ParserCase &parserCase : parserCases()) {
        INFO(parserCase.name);
        CHECK(tryParse(parserCase.parser, nested(deep, "[")) == ParseStatus::Malformed);
        CHECK(tryParse(parserCase.parser, nested(deep, R"({"a":)")) == ParseStatus::Malformed);
    }
}

TEST_CASE("Quotes in comments don't hide nesting, and brackets in comments and strings don't count")
{
    const Parser parser = parserOf(parseJson);
    const std::string deep = nested(100, "[") + nested(100, "]");
    CHECK(tryParse(parser, deep) == ParseStatus::Malformed);
    CHECK(tryParse(parser, "// a quote \"\n" + deep) == ParseStatus::Malformed);
    CHECK(tryParse(parser, "/* a quote \" */" + deep) == ParseStatus::Malformed);
    CHECK(tryParse(parser, "/*/ \" */" + deep) == ParseStatus::Malformed);
    CHECK(tryParse(parser, "// " + nested(100, "[") + "\n1") == ParseStatus::Read);
    CHECK(tryParse(parser, "/* " + nested(100, "[") + " */ 1") == ParseStatus::Read);
    CHECK(tryParse(parser, "\"" + nested(100, "[") + "\\\" /* \"") == ParseStatus::Read);
}

TEST_CASE("A parser's error message can be written as JSON for any input")
{
    rc::prop("printable", [](const std::string &text) {
        const std::string detail = leaf::try_handle_all(
                [&]() -> leaf::result<std::string> {
                    BOOST_LEAF_CHECK(parseJson("{\"a\":\"" + text));
                    return std::string();
                },
                [](const MalformedInput &input) { return input.detail; },
                [] { return std::string(); });
        RC_ASSERT(nlohmann::json(detail).dump().size() > detail.size());
    });
    CHECK(tryParse(parserOf(parseCallerRequest), "{\"caller\":\"\xff\xfe\"}")
          == ParseStatus::Malformed);
}

TEST_CASE("A duplicate name in an object of a file is refused")
{
    char pattern[] = "/tmp/lagoondeck-test-XXXXXX";
    ::close(::mkstemp(pattern));
    const auto parseFile = [&](const std::string &text) {
        std::ofstream(pattern) << text;
        return tryParse(
                [&](std::string_view) -> leaf::result<void> {
                    BOOST_LEAF_CHECK(readJsonFile(pattern));
                    return {};
                },
                "");
    };
    CHECK(parseFile(R"({"a":1,"b":{"a":2},"c":[{"a":3},{"a":4}]})") == ParseStatus::Read);
    CHECK(parseFile(R"({"a":1,"b":2,"a":3})") == ParseStatus::Malformed);
    CHECK(parseFile(R"([{"b":{"a":1,"a":2}}])") == ParseStatus::Malformed);
    std::remove(pattern);
}
