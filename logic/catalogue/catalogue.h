#pragma once

#include "core/catalogue_change.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

/// The complete catalogue at one revision.
struct CatalogueState
{
    Revision revision;
    /// The id of the change that created the revision.
    std::string headChangeId;
    std::vector<CatalogueEntry> entries;
};

/// The catalogue entries in force on this instance, with a log of recent changes. The revision
/// never decreases.
class Catalogue
{
public:
    using Entries = std::map<EntryName, CatalogueEntry>;

    /// Returns the entry with the given name, or null when there is none.
    const CatalogueEntry *find(const EntryName &name) const;
    const Entries &entries() const { return this->inForce; }
    Revision revision() const { return this->current; }
    const std::string &headChangeId() const { return this->headId; }

    /// Applies the next change. Its revision must be the current one plus one.
    void apply(const CatalogueChange &change);

    /// Replaces the complete state with a newer one and clears the log.
    void adopt(const CatalogueState &state);

    /// Returns the changes after a revision, oldest first, or nullopt when the log does not reach
    /// back that far.
    std::optional<std::vector<CatalogueChange>> changesAfter(Revision revision) const;

    /// Returns the id of the change that created a revision, or nullopt when the log does not reach
    /// back that far.
    std::optional<std::string> changeIdAt(Revision revision) const;

private:
    static constexpr std::size_t maxLogSize = 256;

    void trimLog();

    Entries inForce;
    Revision current;
    std::string headId;
    /// The id of the change that precedes the first one in the log.
    std::string logBaseId;
    std::deque<CatalogueChange> log;
};

} // namespace lagoondeck
