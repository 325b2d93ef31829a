#include "operator/command_error.h"
#include "operator/commands.h"
#include "store_fixture.h"
#include "tests/support/fake_service.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <unistd.h>

using namespace lagoondeck;
using namespace lagoondeck::testing;
namespace leaf = boost::leaf;

namespace {

/// The exit code, output and error of one command line.
struct CommandResult
{
    ExitCode code = ExitCode::Internal;
    std::string out;
    std::optional<CommandError> error;
};

CommandResult run(const std::vector<std::string> &arguments)
{
    CommandResult result;
    std::ostringstream out;
    result.code = runCommand(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(line, parseCommandLine(arguments));
                return runCommandLine(line, out);
            },
            [&](const CommandError &error) { result.error = error; });
    result.out = out.str();
    return result;
}

/// A temporary file with one entry, removed on destruction.
struct EntryFile
{
    EntryFile()
    {
        char pattern[] = "/tmp/lagoondeck-test-XXXXXX";
        ::close(::mkstemp(pattern));
        this->path = pattern;
        std::ofstream(this->path)
                << R"({"name":"a","owner":"o","class":"c","service":"s","limits":{}})";
    }
    ~EntryFile() { std::remove(this->path.c_str()); }

    std::string path;
};

} // namespace

TEST_CASE("An entry can be put, listed, read, found in the history and deleted")
{
    const StoreFixture store;
    const EntryFile file;
    const auto catalogue = [&](std::vector<std::string> arguments) {
        arguments.insert(arguments.begin(),
                         {"--store", store.address(), "--author", "ama", "catalogue"});
        return run(arguments);
    };
    CHECK(catalogue({"put", file.path}).code == ExitCode::Done);
    CHECK(catalogue({"list"}).out.find("catalogue revision 1") != std::string::npos);
    const auto entryJson = nlohmann::json::parse(catalogue({"get", "a", "--json"}).out);
    CHECK(entryJson["revision"] == 1);
    CHECK(entryJson["entry"]["owner"] == "o");
    CHECK(catalogue({"get", "b"}).code == ExitCode::NotFound);
    CHECK(catalogue({"delete", "a"}).code == ExitCode::Done);
    const auto history = nlohmann::json::parse(catalogue({"history", "--json"}).out);
    REQUIRE(history["changes"].size() == 2);
    CHECK(history["changes"][1]["author"] == "ama");
    CHECK_FALSE(history["changes"][1].contains("entry"));
    CHECK(catalogue({"get"}).code == ExitCode::InvalidInput);
}

TEST_CASE("An accepted change is not reported as failed when the instance list is unreachable")
{
    const StoreFixture store;
    const EntryFile file;
    const CommandResult result = run({"--store", store.address(), "--instances", refusingAddress(),
                                      "catalogue", "put", file.path, "--wait", "1"});
    CHECK(result.code == ExitCode::NotInForce);
    REQUIRE(result.error);
    CHECK(result.error->message.find("revision 1 is accepted") != std::string::npos);
    CHECK(run({"--store", store.address(), "catalogue", "list"}).out.find("catalogue revision 1")
          != std::string::npos);
}

TEST_CASE("A command without a required address is a usage error")
{
    CHECK(run({"catalogue", "list"}).code == ExitCode::InvalidInput);
    CHECK(run({"status"}).code == ExitCode::InvalidInput);
    CHECK(run({"drain", "e"}).code == ExitCode::InvalidInput);
    CHECK(run({}).code == ExitCode::InvalidInput);
    CHECK(run({"--instances", refusingAddress(), "status"}).code == ExitCode::Unavailable);
}
