#include "core/catalogue_codec.h"
#include "core/errors.h"
#include "core/instance_list_codec.h"
#include "core/json_input.h"
#include "core/settings_file.h"
#include "drivers/caller_codec.h"
#include "drivers/store_codec.h"
#include "mutation.h"

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

/// How a parser took a text. Anything but these three is a fault.
enum class Taken {
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

Taken take(const Parser &parser, const std::string &text)
{
    return leaf::try_handle_all(
            [&]() -> leaf::result<Taken> {
                BOOST_LEAF_CHECK(parser(text));
                return Taken::Read;
            },
            [](const MalformedInput &) { return Taken::Malformed; },
            [](const InvalidInput &input) {
                return input.problems.empty() ? Taken::Untyped : Taken::Invalid;
            },
            [] { return Taken::Untyped; });
}

/// A parser with a text that it reads.
struct Subject
{
    std::string name;
    Parser parser;
    std::string valid;
};

std::vector<Subject> subjects()
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

TEST_CASE("Each parser reads its valid text")
{
    for (const Subject &subject : subjects()) {
        INFO(subject.name);
        CHECK(take(subject.parser, subject.valid) == Taken::Read);
    }
}

TEST_CASE("A spoiled text is read or refused with a typed error")
{
    for (const Subject &subject : subjects()) {
        rc::prop(subject.name, [&] {
            const std::string text = spoiled(subject.valid);
            RC_ASSERT(take(subject.parser, text) != Taken::Untyped);
        });
    }
}

TEST_CASE("Any bytes are read or refused with a typed error")
{
    for (const Subject &subject : subjects()) {
        rc::prop(subject.name, [&](const std::string &text) {
            RC_ASSERT(take(subject.parser, text) != Taken::Untyped);
        });
    }
}

TEST_CASE("A text that is cut off is never read")
{
    for (const Subject &subject : subjects()) {
        for (std::size_t length = 0; length < subject.valid.size(); ++length) {
            INFO(subject.name << " cut at " << length);
            CHECK(take(subject.parser, subject.valid.substr(0, length)) == Taken::Malformed);
        }
    }
}

TEST_CASE("Deep nesting is refused before it can exhaust the stack")
{
    constexpr std::size_t deep = 2'000'000;
    for (const Subject &subject : subjects()) {
        INFO(subject.name);
        CHECK(take(subject.parser, nested(deep, "[")) == Taken::Malformed);
        CHECK(take(subject.parser, nested(deep, R"({"a":)")) == Taken::Malformed);
    }
}

TEST_CASE("Comments hide no nesting from the check and count none")
{
    const Parser parser = parserOf(parseJson);
    const std::string deep = nested(100, "[") + nested(100, "]");
    CHECK(take(parser, deep) == Taken::Malformed);
    CHECK(take(parser, "// a quote \"\n" + deep) == Taken::Malformed);
    CHECK(take(parser, "/* a quote \" */" + deep) == Taken::Malformed);
    CHECK(take(parser, "/*/ \" */" + deep) == Taken::Malformed);
    CHECK(take(parser, "// " + nested(100, "[") + "\n1") == Taken::Read);
    CHECK(take(parser, "/* " + nested(100, "[") + " */ 1") == Taken::Read);
    CHECK(take(parser, "\"" + nested(100, "[") + "\\\" /* \"") == Taken::Read);
}

TEST_CASE("A parser's message can be written as JSON whatever the input was")
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
    CHECK(take(parserOf(parseCallerRequest), "{\"caller\":\"\xff\xfe\"}") == Taken::Malformed);
}

TEST_CASE("A name that stands twice in a file is refused")
{
    char pattern[] = "/tmp/lagoondeck-test-XXXXXX";
    ::close(::mkstemp(pattern));
    const auto read = [&](const std::string &text) {
        std::ofstream(pattern) << text;
        return take(
                [&](std::string_view) -> leaf::result<void> {
                    BOOST_LEAF_CHECK(readJsonFile(pattern));
                    return {};
                },
                "");
    };
    CHECK(read(R"({"a":1,"b":{"a":2},"c":[{"a":3},{"a":4}]})") == Taken::Read);
    CHECK(read(R"({"a":1,"b":2,"a":3})") == Taken::Malformed);
    CHECK(read(R"([{"b":{"a":1,"a":2}}])") == Taken::Malformed);
    std::remove(pattern);
}
