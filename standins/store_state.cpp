#include "standins/store_state.h"

#include "standins/base64.h"

#include <algorithm>
#include <cstdlib>

namespace lagoondeck {

namespace {

std::string readEncoded(const nlohmann::json &object, const char *name)
{
    return decodeBase64(object.value(name, std::string()));
}

} // namespace

bool isInRange(const std::string &key, const std::string &first, const std::string &end)
{
    return end.empty() ? key == first : key >= first && key < end;
}

std::int64_t readNumber(const nlohmann::json &object, const char *name)
{
    if (!object.contains(name)) {
        return 0;
    }
    const nlohmann::json &value = object[name];
    return value.is_string() ? std::atoll(value.get<std::string>().c_str())
                             : value.get<std::int64_t>();
}

nlohmann::json writeKeyValue(const std::string &key, const StoredValue &value)
{
    return {{"key", encodeBase64(key)},
            {"value", encodeBase64(value.value)},
            {"create_revision", std::to_string(value.createRevision)},
            {"mod_revision", std::to_string(value.modRevision)},
            {"lease", std::to_string(value.lease)}};
}

nlohmann::json StoreState::header() const
{
    return {{"revision", std::to_string(this->currentRevision)}};
}

nlohmann::json StoreState::range(const nlohmann::json &request) const
{
    const std::string first = readEncoded(request, "key");
    const std::string end = readEncoded(request, "range_end");
    nlohmann::json found = nlohmann::json::array();
    for (auto at = this->values.lower_bound(first);
         at != this->values.end() && isInRange(at->first, first, end); ++at) {
        found.push_back(writeKeyValue(at->first, at->second));
    }
    const std::string count = std::to_string(found.size());
    return {{"header", this->header()}, {"kvs", std::move(found)}, {"count", count}};
}

nlohmann::json StoreState::transact(const nlohmann::json &request)
{
    const nlohmann::json none = nlohmann::json::array();
    const nlohmann::json compares = request.value("compare", none);
    const bool succeeded = std::ranges::all_of(
            compares, [this](const nlohmann::json &compare) { return this->matches(compare); });
    nlohmann::json responses = nlohmann::json::array();
    const std::uint64_t revision = this->currentRevision + 1;
    const std::size_t before = this->history.size();
    for (const nlohmann::json &operation : request.value(succeeded ? "success" : "failure", none)) {
        responses.push_back(this->execute(operation, revision));
    }
    if (this->history.size() != before) {
        this->currentRevision = revision;
    }
    return {{"header", this->header()}, {"succeeded", succeeded}, {"responses", responses}};
}

bool StoreState::matches(const nlohmann::json &compare) const
{
    const auto found = this->values.find(readEncoded(compare, "key"));
    const bool exists = found != this->values.end();
    const std::string target = compare.value("target", std::string("MOD"));
    if (target == "CREATE") {
        const auto created = static_cast<std::uint64_t>(readNumber(compare, "create_revision"));
        return (exists ? found->second.createRevision : 0) == created;
    }
    if (target == "VALUE") {
        return exists && found->second.value == readEncoded(compare, "value");
    }
    const auto modified = static_cast<std::uint64_t>(readNumber(compare, "mod_revision"));
    return (exists ? found->second.modRevision : 0) == modified;
}

nlohmann::json StoreState::execute(const nlohmann::json &operation, std::uint64_t revision)
{
    if (operation.contains("request_put")) {
        const nlohmann::json &request = operation["request_put"];
        StoredValue value;
        value.value = readEncoded(request, "value");
        value.modRevision = revision;
        value.lease = readNumber(request, "lease");
        this->put(readEncoded(request, "key"), std::move(value));
        return {{"response_put", nlohmann::json::object()}};
    }
    if (operation.contains("request_delete_range")) {
        const nlohmann::json &request = operation["request_delete_range"];
        const std::size_t deleted = this->deleteRange(readEncoded(request, "key"),
                                                      readEncoded(request, "range_end"), revision);
        return {{"response_delete_range", {{"deleted", std::to_string(deleted)}}}};
    }
    return {{"response_range",
             this->range(operation.value("request_range", nlohmann::json::object()))}};
}

void StoreState::put(const std::string &key, StoredValue value)
{
    const auto found = this->values.find(key);
    value.createRevision =
            found == this->values.end() ? value.modRevision : found->second.createRevision;
    this->history.push_back({value.modRevision, false, key, value});
    this->values[key] = std::move(value);
}

std::size_t StoreState::deleteRange(const std::string &key, const std::string &end,
                                    std::uint64_t revision)
{
    std::size_t deleted = 0;
    for (auto at = this->values.lower_bound(key);
         at != this->values.end() && isInRange(at->first, key, end);) {
        StoredValue last;
        last.modRevision = revision;
        this->history.push_back({revision, true, at->first, last});
        at = this->values.erase(at);
        ++deleted;
    }
    return deleted;
}

void StoreState::endLease(std::int64_t lease)
{
    std::vector<std::string> keys;
    for (const auto &[key, value] : this->values) {
        if (value.lease == lease) {
            keys.push_back(key);
        }
    }
    if (!keys.empty()) {
        ++this->currentRevision;
    }
    for (const std::string &key : keys) {
        this->deleteRange(key, "", this->currentRevision);
    }
}

void StoreState::restoreRevision(std::uint64_t revision)
{
    std::erase_if(this->history,
                  [&](const RecordedChange &change) { return change.revision > revision; });
    this->currentRevision = std::min(this->currentRevision, revision);
    this->values.clear();
    for (const RecordedChange &change : this->history) {
        if (change.deleted) {
            this->values.erase(change.key);
        } else {
            this->values[change.key] = change.value;
        }
    }
}

} // namespace lagoondeck
