#include "logic/claims/claim_record.h"

#include <nlohmann/json.hpp>

namespace lagoondeck {

namespace {

constexpr std::string_view keyPrefix = "lagoondeck/claims/";

/// Appends a part of a key with its separators escaped, so that "a/b" + "c" and "a" + "b/c" give
/// different keys.
void appendEscaped(std::string &key, const std::string &part)
{
    for (const char c : part) {
        if (c == '/') {
            key += "%2F";
        } else if (c == '%') {
            key += "%25";
        } else {
            key += c;
        }
    }
}

std::optional<Outcome> outcomeOf(const std::string &name)
{
    for (const Outcome outcome : {Outcome::Answered, Outcome::Failed, Outcome::Unknown}) {
        if (name == toString(outcome)) {
            return outcome;
        }
    }
    return std::nullopt;
}

} // namespace

std::string claimKey(const CallerName &caller, const RequestId &request)
{
    std::string key(keyPrefix);
    appendEscaped(key, caller.value);
    key += '/';
    appendEscaped(key, request.value);
    return key;
}

std::string writeClaim(const ClaimRecord &record)
{
    nlohmann::json json {{"instance", record.instance.value}, {"claim", record.claimId}};
    if (record.outcome) {
        json["outcome"] = toString(*record.outcome);
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<ClaimRecord> parseClaim(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    const auto instance = json.find("instance");
    const auto claim = json.find("claim");
    if (instance == json.end() || !instance->is_string() || claim == json.end()
        || !claim->is_string()) {
        return std::nullopt;
    }
    ClaimRecord record {InstanceId(instance->get<std::string>()), claim->get<std::string>(), {}};
    if (const auto outcome = json.find("outcome"); outcome != json.end() && outcome->is_string()) {
        record.outcome = outcomeOf(outcome->get<std::string>());
    }
    return record;
}

} // namespace lagoondeck
