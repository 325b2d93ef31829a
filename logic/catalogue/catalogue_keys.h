#pragma once

#include "core/catalogue_change.h"
#include "core/ids.h"
#include "logic/catalogue/catalogue.h"
#include "logic/store_operation.h"

#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

/// What a reading of the whole state found.
struct StoredCatalogue
{
    CatalogueState state;
    /// Keys of entries that did not pass the checks.
    std::vector<std::string> refusedKeys;
    /// The head could not be read.
    bool malformed = false;
};

/// What a reading of changes found, oldest first.
struct StoredChanges
{
    std::vector<CatalogueChange> changes;
    std::vector<std::string> refusedKeys;
};

/// The range of the head alone.
StoreRange catalogueHeadRange();
/// The range of all entries and the head, which one reading takes at one store revision.
StoreRange catalogueStateRange();
/// The range of the changes from a revision on.
StoreRange catalogueChangesRange(Revision first);

/// Reads the head; empty when it is there and malformed.
std::optional<CatalogueHead> readCatalogueHead(const std::vector<StoreKeyValue> &values);
StoredCatalogue readStoredCatalogue(const std::vector<StoreKeyValue> &values);
StoredChanges readStoredChanges(const std::vector<StoreKeyValue> &values);

} // namespace lagoondeck
