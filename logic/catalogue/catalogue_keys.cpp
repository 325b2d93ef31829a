#include "logic/catalogue/catalogue_keys.h"

#include "core/catalogue_codec.h"
#include "core/errors.h"
#include "core/json_input.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <cstdio>
#include <string_view>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr std::string_view headKey = "lagoondeck/catalogue/head";
constexpr std::string_view entriesPrefix = "lagoondeck/catalogue/entries/";
constexpr std::string_view changesPrefix = "lagoondeck/catalogue/changes/";
/// The first key after all changes: '0' follows '/'.
constexpr std::string_view changesEnd = "lagoondeck/catalogue/changes0";

std::string changeKey(Revision revision)
{
    char digits[32];
    std::snprintf(digits, sizeof(digits), "%012llu",
                  static_cast<unsigned long long>(revision.value));
    return std::string(changesPrefix) + digits;
}

/// The parsed value, or nothing when it does not pass the checks.
template <typename Parse>
auto parsedOrNothing(Parse &&parse)
{
    using Value = std::decay_t<decltype(parse().value())>;
    return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<Value>> {
                BOOST_LEAF_AUTO(value, parse());
                return std::optional<Value>(std::move(value));
            },
            []() -> std::optional<Value> { return std::nullopt; });
}

} // namespace

StoreRange catalogueHeadRange()
{
    return {std::string(headKey), ""};
}

StoreRange catalogueStateRange()
{
    return {std::string(entriesPrefix), std::string(headKey) + '\0'};
}

StoreRange catalogueChangesRange(Revision first)
{
    return {changeKey(first), std::string(changesEnd)};
}

std::optional<CatalogueHead> readCatalogueHead(const std::vector<StoreKeyValue> &values)
{
    const auto found = std::ranges::find(values, headKey, &StoreKeyValue::key);
    if (found == values.end()) {
        return CatalogueHead {};
    }
    const auto json = parsedOrNothing([&] { return parseJson(found->value); });
    if (!json || !json->is_object() || !json->contains("revision")
        || !(*json)["revision"].is_number_unsigned() || !json->contains("changeId")
        || !(*json)["changeId"].is_string()) {
        return std::nullopt;
    }
    return CatalogueHead {Revision((*json)["revision"].get<std::uint64_t>()),
                          (*json)["changeId"].get<std::string>()};
}

StoredCatalogue readStoredCatalogue(const std::vector<StoreKeyValue> &values)
{
    StoredCatalogue stored;
    const std::optional<CatalogueHead> head = readCatalogueHead(values);
    if (!head) {
        stored.malformed = true;
        return stored;
    }
    stored.state.revision = head->revision;
    stored.state.headChangeId = head->changeId;
    for (const StoreKeyValue &value : values) {
        if (!value.key.starts_with(entriesPrefix)) {
            continue;
        }
        const auto change = parsedOrNothing([&] { return parseCatalogueChange(value.value); });
        if (change && change->entry
            && value.key == std::string(entriesPrefix) + change->name.value) {
            stored.state.entries.push_back(*change->entry);
        } else {
            stored.refusedKeys.push_back(value.key);
        }
    }
    return stored;
}

StoredChanges readStoredChanges(const std::vector<StoreKeyValue> &values)
{
    StoredChanges stored;
    for (const StoreKeyValue &value : values) {
        if (!value.key.starts_with(changesPrefix)) {
            continue;
        }
        const auto change = parsedOrNothing([&] { return parseCatalogueChange(value.value); });
        if (change && value.key == changeKey(change->revision)) {
            stored.changes.push_back(*change);
        } else {
            stored.refusedKeys.push_back(value.key);
        }
    }
    std::ranges::sort(stored.changes, {}, &CatalogueChange::revision);
    return stored;
}

} // namespace lagoondeck
