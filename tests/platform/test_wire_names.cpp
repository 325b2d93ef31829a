#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

namespace {

/// Names that only the folder platform/ and the stand-ins may contain.
constexpr auto names = std::to_array<std::string_view>(
        {"Server-Stamp",   "Part-Stamps",  "Missing-Parts",     "Not-Executed",   "Expect-Instance",
         "Deadline-Ms",    "Instance-Id",  "/lagoondeck/kv",    "op/config",      "servers/",
         "traffic_split",  "route_type",   "target_latency_ms", "min_coverage",   "max_conns",
         "warmup_left_ms", "heartbeat_ms", "expected_rev",      "store_revision", "allow_stale",
         "stable_window",  "api_keys",     "op/evacuate/",      "warmup_per_s",   "Authorization",
         "Bearer "});

constexpr auto folders = std::to_array<std::string_view>(
        {"core", "logic", "drivers", "main", "operator", "bench", "proto"});

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

} // namespace

TEST_CASE("no file outside platform/ and the stand-ins contains a name of the users' platform")
{
    for (const std::string_view folder : folders) {
        const auto root = std::filesystem::path(LAGOONDECK_SOURCE_DIR) / folder;
        for (const auto &file : std::filesystem::recursive_directory_iterator(root)) {
            if (!file.is_regular_file()) {
                continue;
            }
            const std::string text = readFile(file.path());
            for (const std::string_view name : names) {
                INFO(file.path().string() << " contains " << name);
                CHECK(text.find(name) == std::string::npos);
            }
        }
    }
}
