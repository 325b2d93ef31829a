#include "core/os/program.h"
#include "operator/command_error.h"
#include "operator/command_line.h"
#include "operator/commands.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace leaf = boost::leaf;

namespace {

leaf::result<void> run(const std::vector<std::string> &arguments)
{
    BOOST_LEAF_AUTO(line, lagoondeck::parseCommandLine(arguments));
    if (line.help) {
        std::cout << lagoondeck::helpText();
        return {};
    }
    if (line.version) {
        std::cout << "lagoondeckctl " << LAGOONDECK_VERSION << "\n";
        return {};
    }
    return lagoondeck::runCommandLine(line, std::cout);
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const bool json = std::ranges::find(arguments, "--json") != arguments.end();
    const auto onError = [json](const lagoondeck::CommandError &error) {
        if (json) {
            // Replaces bytes of an argument that are not UTF-8.
            std::cout << lagoondeck::toJson(error).dump(2, ' ', false,
                                                        nlohmann::json::error_handler_t::replace)
                      << "\n";
        } else {
            std::cerr << lagoondeck::toText(error);
        }
    };
    return lagoondeck::runProgram(
            "lagoondeckctl", static_cast<int>(lagoondeck::ExitCode::Internal), [&] {
                return static_cast<int>(
                        lagoondeck::runCommand([&] { return run(arguments); }, onError));
            });
}
