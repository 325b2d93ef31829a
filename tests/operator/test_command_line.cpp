#include "operator/command_error.h"
#include "operator/command_line.h"
#include "operator/entry_input.h"
#include "operator/table.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace lagoondeck;
namespace leaf = boost::leaf;

namespace {

/// Returns the kind of the error that the arguments cause; empty when there is none.
std::string parseErrorKind(const std::vector<std::string> &arguments)
{
    std::string kind;
    runCommand(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_CHECK(parseCommandLine(arguments));
                return {};
            },
            [&](const CommandError &error) { kind = error.kind; });
    return kind;
}

/// A temporary file that is removed on destruction.
struct TemporaryFile
{
    explicit TemporaryFile(const std::string &text)
    {
        char pattern[] = "/tmp/lagoondeck-test-XXXXXX";
        ::close(::mkstemp(pattern));
        this->path = pattern;
        std::ofstream(this->path) << text;
    }
    ~TemporaryFile() { std::remove(this->path.c_str()); }

    std::string path;
};

constexpr const char *goodEntry =
        R"({"name":"a","owner":"o","class":"c","service":"s","limits":{}})";

} // namespace

TEST_CASE("Options are accepted before and after the command")
{
    const CommandLine line =
            parseCommandLine({"--store", "127.0.0.1:1", "catalogue", "put", "f.json", "--wait", "5",
                              "--expect-revision=7", "--json"})
                    .value();
    CHECK(line.positionalArguments == std::vector<std::string> {"catalogue", "put", "f.json"});
    CHECK(line.storeAddress == "127.0.0.1:1");
    CHECK(line.wait == Duration(std::chrono::seconds(5)));
    CHECK(line.expectRevision == Revision {7});
    CHECK(line.json);
}

TEST_CASE("The seconds of --wait are optional")
{
    const CommandLine line = parseCommandLine({"--wait", "catalogue", "put", "f"}).value();
    CHECK(line.wait == Duration(std::chrono::seconds(11)));
    CHECK(line.positionalArguments.size() == 3);
    CHECK(parseCommandLine({"drain", "e", "--wait"}).value().wait.has_value());
    CHECK(parseCommandLine({"drain", "e", "--wait=3"}).value().wait
          == Duration(std::chrono::seconds(3)));
    CHECK_FALSE(parseCommandLine({"drain", "e"}).value().wait.has_value());
}

TEST_CASE("An invalid command line is a usage error")
{
    CHECK(parseErrorKind({"--nonsense"}) == "usage");
    CHECK(parseErrorKind({"catalogue", "list", "--store"}) == "usage");
    CHECK(parseErrorKind({"--expect-revision", "-1"}) == "usage");
    CHECK(parseErrorKind({"--timeout-ms", "2s"}) == "usage");
    CHECK(parseErrorKind({"--settings", "/nonexistent"}) == "file-unreadable");
    CHECK(parseErrorKind({"catalogue"}).empty());
}

TEST_CASE("Entry files are read completely, or every wrong field of every file is reported")
{
    const TemporaryFile good(goodEntry);
    const TemporaryFile both(std::string("[") + goodEntry
                             + R"(,{"name":"b","limits":{"rate":1}}])");
    CHECK(readEntryFiles({good.path}).value().size() == 1);
    CommandError failure;
    const auto read = [&](const std::vector<std::string> &paths) {
        return runCommand(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_CHECK(readEntryFiles(paths));
                    return {};
                },
                [&](const CommandError &error) { failure = error; });
    };
    CHECK(read({good.path, both.path}) == ExitCode::InvalidInput);
    const std::string text = toText(failure);
    INFO(text);
    CHECK(text.find(both.path + ": [0].name: conflict") != std::string::npos);
    CHECK(text.find(both.path + ": [1].owner: missing") != std::string::npos);
    CHECK(text.find(both.path + ": [1].limits.rate: unknown field") != std::string::npos);
    CHECK(toJson(failure)["error"]["problems"].size() == failure.problems.size());
}

TEST_CASE("Columns of a table are as wide as their widest cell")
{
    Table table({"A", "B"});
    table.add({"long", "x"});
    CHECK(table.toText() == "A     B\nlong  x\n");
}
