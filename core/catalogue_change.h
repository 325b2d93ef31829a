#pragma once

#include "core/catalogue_entry.h"

#include <optional>
#include <string>

namespace lagoondeck {

/// One accepted change of the catalogue. Revisions are dense: each change adds one.
struct CatalogueChange
{
    Revision revision;
    /// Chosen by the operator's command; finds the change again after a lost reply.
    std::string changeId;
    std::string author;
    WallTime acceptedAt {};
    EntryName name;
    /// Empty when the change deletes the entry.
    std::optional<CatalogueEntry> entry;

    bool operator==(const CatalogueChange &) const = default;
};

/// The last accepted change of the catalogue; no change was made yet when the revision is 0.
struct CatalogueHead
{
    Revision revision;
    std::string changeId;

    bool operator==(const CatalogueHead &) const = default;
};

} // namespace lagoondeck
