#include "core/settings_file.h"

#include "core/address.h"
#include "core/errors.h"
#include "core/field_reader.h"
#include "core/json_input.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <cctype>
#include <limits>
#include <optional>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr std::uint64_t maxBodyBytes = 16 * 1024 * 1024;
constexpr std::uint32_t maxCallerThreads = 4096;
constexpr std::uint32_t maxExpectedInstances = 1000;
constexpr Duration minClaimRetention = std::chrono::seconds(3);
constexpr Duration maxClaimRetention = std::chrono::hours(24);
constexpr double maxClaimWritesPerSecond = 10000.0;
constexpr std::size_t maxNameLength = 64;
constexpr std::size_t peerKeyLength = 40;
constexpr std::size_t z85GroupLength = 5;
constexpr std::string_view z85Alphabet = "0123456789abcdefghijklmnopqrstuvwxyz"
                                         "ABCDEFGHIJKLMNOPQRSTUVWXYZ.-:+=^!/*?&<>()[]{}@%$#";
constexpr Duration maxStopBound = std::chrono::minutes(5);

void readPolicy(FieldReader &reader, PolicyKind &policy)
{
    std::string name = "full";
    reader.read("policy", name);
    if (name != "full" && name != "baseline") {
        reader.addProblem("policy", FieldProblemKind::OutOfRange, "expected full or baseline");
    }
    policy = name == "baseline" ? PolicyKind::Baseline : PolicyKind::Full;
}

bool isNameCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '.' || c == '_';
}

/// Allows only few characters in names, because names appear in messages, logs and metrics of other
/// instances.
void checkName(FieldReader &reader, const char *field, const std::string &name)
{
    if (name.empty() || name.size() > maxNameLength
        || !std::ranges::all_of(name, isNameCharacter)) {
        reader.addProblem(field, FieldProblemKind::BadFormat,
                          "expected 1 to 64 letters, digits, '-', '.' and '_'");
    }
}

std::optional<Address> checkAddress(FieldReader &reader, const char *field, const std::string &text)
{
    auto address = parseAddress(text);
    if (!address) {
        reader.addProblem(
                field, FieldProblemKind::BadFormat,
                "expected an IP address and a port from 1 to 65535, for example 127.0.0.1:7101");
    }
    return address;
}

/// Checks the addresses. The ports of this process must differ from each other and from those of
/// the platform's services.
void checkAddresses(FieldReader &reader, const Settings &settings)
{
    const auto http = checkAddress(reader, "httpAddress", settings.httpAddress);
    const auto peer = checkAddress(reader, "peerAddress", settings.peerAddress);
    const auto store = checkAddress(reader, "storeAddress", settings.storeAddress);
    const auto list = checkAddress(reader, "instanceListAddress", settings.instanceListAddress);
    const auto rejectConflict = [&](const auto &left, const auto &right, const char *field,
                                    const char *other) {
        if (left && right && addressesConflict(*left, *right)) {
            reader.addProblem(field, FieldProblemKind::Conflict,
                              std::string("conflicts with ") + other);
        }
    };
    rejectConflict(peer, http, "peerAddress", "httpAddress");
    rejectConflict(store, http, "storeAddress", "httpAddress");
    rejectConflict(store, peer, "storeAddress", "peerAddress");
    rejectConflict(list, http, "instanceListAddress", "httpAddress");
    rejectConflict(list, peer, "instanceListAddress", "peerAddress");
}

/// Returns whether a text is valid in Z85, which encodes four bytes as five characters. Some groups
/// of five characters exceed the range of four bytes and are invalid.
bool isZ85(std::string_view text)
{
    std::uint64_t groupValue = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const std::size_t digit = z85Alphabet.find(text[i]);
        if (digit == std::string_view::npos) {
            return false;
        }
        groupValue = (i % z85GroupLength == 0 ? 0 : groupValue * z85Alphabet.size()) + digit;
        if (groupValue > std::numeric_limits<std::uint32_t>::max()) {
            return false;
        }
    }
    return true;
}

void checkPeerKey(FieldReader &reader, const std::string &key)
{
    if (!key.empty() && (key.size() != peerKeyLength || !isZ85(key))) {
        reader.addProblem("peerKey", FieldProblemKind::BadFormat,
                          "expected 40 characters in Z85 encoding; the length is "
                                  + std::to_string(key.size()));
    }
}

leaf::result<Settings> settingsFromJson(const nlohmann::json &json)
{
    Settings settings;
    std::vector<FieldProblem> problems;
    FieldReader reader(json, problems);
    reader.require({"id", "failureDomain", "httpAddress", "peerAddress", "storeAddress",
                    "instanceListAddress"});
    reader.read("id", settings.id.value);
    reader.read("failureDomain", settings.failureDomain.value);
    reader.read("httpAddress", settings.httpAddress);
    reader.read("peerAddress", settings.peerAddress);
    reader.read("storeAddress", settings.storeAddress);
    reader.read("instanceListAddress", settings.instanceListAddress);
    reader.read("peerKey", settings.peerKey);
    readPolicy(reader, settings.policy);
    reader.read("seed", settings.seed, 0, std::numeric_limits<std::uint64_t>::max());
    reader.read("maximumBodyBytes", settings.maximumBodyBytes, 1, maxBodyBytes);
    reader.read("callerThreads", settings.callerThreads, 1, maxCallerThreads);
    reader.readMilliseconds("stopBoundMs", settings.stopBound, Duration(0), maxStopBound);
    reader.readMilliseconds("instanceListIntervalMs", settings.instanceListInterval,
                            std::chrono::milliseconds(10), std::chrono::minutes(1));
    reader.read("expectedInstances", settings.expectedInstances, 1, maxExpectedInstances);
    reader.readMilliseconds("claimRetentionMs", settings.claimRetention, minClaimRetention,
                            maxClaimRetention);
    reader.read("claimWritesPerSecond", settings.claimWritesPerSecond, 1.0,
                maxClaimWritesPerSecond);
    reader.read("logDirectory", settings.logDirectory);
    reader.rejectUnknownFields();
    if (reader.isObject()) {
        checkName(reader, "id", settings.id.value);
        checkName(reader, "failureDomain", settings.failureDomain.value);
        checkAddresses(reader, settings);
        checkPeerKey(reader, settings.peerKey);
    }
    if (!problems.empty()) {
        return leaf::new_error(InvalidInput {std::move(problems)});
    }
    return settings;
}

} // namespace

leaf::result<Settings> parseSettings(std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJson(text));
    return settingsFromJson(json);
}

leaf::result<Settings> readSettingsFile(const std::string &path)
{
    BOOST_LEAF_AUTO(json, readJsonFile(path));
    return settingsFromJson(json);
}

} // namespace lagoondeck
