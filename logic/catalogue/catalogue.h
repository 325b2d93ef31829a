#pragma once

#include "core/catalogue_change.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

/// The whole catalogue at one revision.
struct CatalogueState
{
    Revision revision;
    std::string headChangeId;
    std::vector<CatalogueEntry> entries;
};

/// The catalogue entries in force on this node. Its revision only grows.
class Catalogue
{
public:
    using Entries = std::map<EntryName, CatalogueEntry>;

    /// The entry in force under a name; null when there is none.
    const CatalogueEntry *find(const EntryName &name) const;
    const Entries &entries() const { return this->inForce; }
    Revision revision() const { return this->current; }
    const std::string &headChangeId() const { return this->headId; }

    /// Puts the next change in force; its revision must be one more than the current one.
    void apply(const CatalogueChange &change);

    /// Replaces the whole state by a newer one and forgets the log.
    void adopt(const CatalogueState &state);

    /// The changes after a revision, oldest first; empty optional when the log does not reach back.
    std::optional<std::vector<CatalogueChange>> changesAfter(Revision revision) const;

    /// The id of the change that made a revision, as far as the log reaches back.
    std::optional<std::string> changeIdAt(Revision revision) const;

private:
    static constexpr std::size_t longestLog = 256;

    void trimLog();

    Entries inForce;
    Revision current;
    std::string headId;
    /// The change id just before the log's first change.
    std::string logBaseId;
    std::deque<CatalogueChange> log;
};

} // namespace lagoondeck
