#include "logic/catalogue/catalogue_keys.h"

#include "core/catalogue_codec.h"
#include "core/catalogue_keys.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

/// Returns the parsed value, or nullopt when parsing fails.
template <typename Parse>
auto parsedOrNullopt(Parse &&parse)
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
    return {catalogueHeadKey(), ""};
}

StoreRange catalogueStateRange()
{
    const KeyRange range = catalogueInForceRange();
    return {range.first, range.end};
}

StoreRange catalogueChangesRange(Revision first)
{
    return {catalogueChangeKey(first), catalogueChangesEnd()};
}

std::optional<CatalogueHead> readCatalogueHead(const std::vector<StoreKeyValue> &values)
{
    const auto found = std::ranges::find(values, catalogueHeadKey(), &StoreKeyValue::key);
    if (found == values.end()) {
        return CatalogueHead {};
    }
    return parsedOrNullopt([&] { return parseCatalogueHead(found->value); });
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
        if (!isCatalogueEntryKey(value.key)) {
            continue;
        }
        const auto change = parsedOrNullopt([&] { return parseCatalogueChange(value.value); });
        if (change && change->entry && value.key == catalogueEntryKey(change->name)) {
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
        if (!isCatalogueChangeKey(value.key)) {
            continue;
        }
        const auto change = parsedOrNullopt([&] { return parseCatalogueChange(value.value); });
        if (change && value.key == catalogueChangeKey(change->revision)) {
            stored.changes.push_back(*change);
        } else {
            stored.refusedKeys.push_back(value.key);
        }
    }
    std::ranges::sort(stored.changes, {}, &CatalogueChange::revision);
    return stored;
}

} // namespace lagoondeck
