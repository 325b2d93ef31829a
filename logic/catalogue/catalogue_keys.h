#pragma once

#include "core/catalogue_change.h"
#include "core/ids.h"
#include "logic/catalogue/catalogue.h"
#include "logic/store_operation.h"

#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

/// The result of reading the complete catalogue from the store.
struct StoredCatalogue
{
    CatalogueState state;
    /// Keys of entries that could not be parsed.
    std::vector<std::string> refusedKeys;
    /// Whether the head could not be parsed.
    bool malformed = false;
};

/// The result of reading changes from the store.
struct StoredChanges
{
    /// Oldest first.
    std::vector<CatalogueChange> changes;
    /// Keys of changes that could not be parsed.
    std::vector<std::string> refusedKeys;
};

/// Returns the key range that contains only the head: the current revision and the id of its
/// change.
StoreRange catalogueHeadRange();
/// Returns the key range of all entries and the head, so that one read returns them at the same
/// store revision.
StoreRange catalogueStateRange();
/// Returns the key range of the changes from a revision on.
StoreRange catalogueChangesRange(Revision first);

/// Parses the head. Returns a default head when its key does not exist, and nullopt when its value
/// is malformed.
std::optional<CatalogueHead> readCatalogueHead(const std::vector<StoreKeyValue> &values);
StoredCatalogue readStoredCatalogue(const std::vector<StoreKeyValue> &values);
StoredChanges readStoredChanges(const std::vector<StoreKeyValue> &values);

} // namespace lagoondeck
