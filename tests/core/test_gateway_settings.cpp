#include "core/errors.h"
#include "core/gateway_settings_file.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

using namespace lagoondeck;
namespace leaf = boost::leaf;

namespace {

nlohmann::json settingsWith(const std::string &name, const nlohmann::json &value)
{
    nlohmann::json gateway {{"id", "n1"},
                            {"failureDomain", "a"},
                            {"callerAddress", "127.0.0.1:1001"},
                            {"readyAddress", "127.0.0.1:1002"},
                            {"controlAddress", "127.0.0.1:1003"},
                            {"peerAddress", "127.0.0.1:1004"},
                            {"storeAddress", "127.0.0.1:1005"}};
    gateway[name] = value;
    return {{"gateway", gateway}};
}

/// Returns the path of the only problem, or a text that tells how many there are.
std::string problemOf(const std::string &name, const nlohmann::json &value)
{
    return leaf::try_handle_all(
            [&]() -> leaf::result<std::string> {
                BOOST_LEAF_CHECK(gatewaySettingsFromJson(settingsWith(name, value)));
                return std::string("none");
            },
            [](const InvalidInput &input) {
                return input.problems.size() == 1 ? input.problems.front().path
                                                  : std::to_string(input.problems.size());
            },
            [] { return std::string("?"); });
}

} // namespace

TEST_CASE("the settings of a machine's size and of messages are checked")
{
    for (const auto &[name, value] :
         std::vector<std::pair<std::string, nlohmann::json>> {{"memoryMegabytes", 0},
                                                              {"memoryMegabytes", 160},
                                                              {"memoryMegabytes", 160.5},
                                                              {"maxDescriptors", 0},
                                                              {"maxDescriptors", 4100},
                                                              {"maxRequestLineBytes", 8000},
                                                              {"maxHeaderFields", 100},
                                                              {"maxChunkOverheadBytes", 4096},
                                                              {"maxInterimReplies", 0}}) {
        INFO(name);
        CHECK(problemOf(name, value) == "none");
    }
    for (const auto &[name, value] :
         std::vector<std::pair<std::string, nlohmann::json>> {{"memoryMegabytes", 63},
                                                              {"memoryMegabytes", -1},
                                                              {"memoryMegabytes", "160 MB"},
                                                              {"maxDescriptors", 300},
                                                              {"maxDescriptors", 1.5},
                                                              {"maxRequestLineBytes", -1},
                                                              {"maxHeaderFields", "many"},
                                                              {"maxChunkOverheadBytes", 1e12},
                                                              {"maxInterimReplies", 2'000'000}}) {
        INFO(name << " " << value);
        CHECK(problemOf(name, value) == "gateway." + name);
    }
}
