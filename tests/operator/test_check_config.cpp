// The command check-config with files in the users' format.

#include "operator/command_error.h"
#include "operator/commands.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace lagoondeck;
namespace leaf = boost::leaf;

namespace {

/// A temporary file that is removed on destruction.
struct ConfigFile
{
    explicit ConfigFile(const std::string &text)
    {
        char pattern[] = "/tmp/lagoondeck-test-XXXXXX";
        ::close(::mkstemp(pattern));
        this->path = pattern;
        std::ofstream(this->path) << text;
    }
    ~ConfigFile() { std::remove(this->path.c_str()); }

    std::string path;
};

struct CommandResult
{
    ExitCode code = ExitCode::Internal;
    /// The output and the error that is shown.
    std::string text;
};

CommandResult run(const std::vector<std::string> &arguments)
{
    CommandResult result;
    std::ostringstream out;
    std::string error;
    result.code = runCommand(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(line, parseCommandLine(arguments));
                return runCommandLine(line, out);
            },
            [&](const CommandError &shown) { error = toText(shown) + toJson(shown).dump(); });
    result.text = out.str() + error;
    CHECK(result.text.find("secret") == std::string::npos);
    return result;
}

bool contains(const std::string &text, const std::string &part)
{
    INFO(text);
    return text.find(part) != std::string::npos;
}

std::string configText(int version, const std::string &accounts, const std::string &extra = "")
{
    return R"({"version":)" + std::to_string(version)
            + R"(,"routes":[{"name":"r","host":"h","prefix":"/","service":"s","timeout_ms":100)"
            + extra + R"(}],"services":[{"name":"s","max_conns":3}],"tenants":)" + accounts + "}";
}

const std::string accounts = R"([{"name":"acme","api_keys":["secret-1"]}])";

} // namespace

TEST_CASE("check-config accepts a configuration without faults")
{
    const ConfigFile file(configText(3, accounts));
    const CommandResult result = run({"check-config", file.path});
    CHECK(result.code == ExitCode::Done);
    CHECK(contains(result.text, "version 3: nothing wrong"));
}

TEST_CASE("check-config names every wrong field with its place")
{
    const ConfigFile file(configText(
            3, R"([{"name":"a","api_keys":["secret-1"]},{"name":7,"api_keys":"secret"}])",
            R"(,"attempts":0)"));
    const CommandResult result = run({"check-config", file.path});
    CHECK(result.code == ExitCode::InvalidInput);
    CHECK(contains(result.text, "routes[0].attempts: out of range"));
    CHECK(contains(result.text, "tenants[1].name: wrong type"));
    CHECK(contains(result.text, "tenants[1].api_keys: wrong type"));
}

// Guards against a key on the screen, or in a script's log, because of a missing bracket.
TEST_CASE("check-config does not quote a file that is not JSON")
{
    const std::string text = configText(3, accounts);
    const ConfigFile cut(text.substr(0, text.find("secret-1") + 8));
    const CommandResult result = run({"check-config", cut.path});
    CHECK(result.code == ExitCode::InvalidInput);
    CHECK(contains(result.text, cut.path + ": syntax error at byte "));
    const ConfigFile beyond(configText(3, "1e999"));
    CHECK(run({"check-config", beyond.path}).code == ExitCode::InvalidInput);
}

TEST_CASE("check-config prints findings with their kinds and fails")
{
    const ConfigFile file(configText(3, R"([{"name":"acme","burst":2}])"));
    const CommandResult result = run({"check-config", file.path});
    CHECK(result.code == ExitCode::InvalidInput);
    CHECK(contains(result.text, "account-without-keys: account acme: "));
    CHECK(contains(result.text, "burst-without-rate: account acme: "));
    CHECK(contains(result.text, "faulty-config"));
}

TEST_CASE("check-config --against prints what changes, with keys only as numbers")
{
    const ConfigFile inForce(configText(3, accounts));
    const ConfigFile next(configText(
            4,
            R"([{"name":"acme","api_keys":["secret-2"]},{"name":"b","api_keys":["secret-3"]}])"));
    const CommandResult result = run({"check-config", next.path, "--against", inForce.path});
    CHECK(result.code == ExitCode::Done);
    CHECK(contains(result.text, "changed: account acme: keys added: 1; keys removed: 1\n"));
    CHECK(contains(result.text, "added: account b\n"));
    const CommandResult back = run({"check-config", inForce.path, "--against", next.path});
    CHECK(back.code == ExitCode::InvalidInput);
    CHECK(contains(back.text, "version-not-newer: version 3: "));
    const CommandResult json =
            run({"--json", "check-config", next.path, "--against", inForce.path});
    CHECK(nlohmann::json::parse(json.text)["differences"].size() == 2);
}

TEST_CASE("check-config reports a file that can't be read, and wrong arguments")
{
    CHECK(run({"check-config", "/nonexistent"}).code == ExitCode::InvalidInput);
    const ConfigFile file(configText(3, accounts));
    CHECK(run({"check-config", file.path, "--against", "/nonexistent"}).code
          == ExitCode::InvalidInput);
    CHECK(contains(run({"check-config"}).text, "takes one file"));
    CHECK(contains(run({"check-config", file.path, file.path}).text, "takes one file"));
}
