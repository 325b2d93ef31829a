#pragma once

#include "core/catalogue_change.h"
#include "core/time.h"
#include "drivers/store_session.h"

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

/// The catalogue as the store holds it at one moment.
struct CatalogueInForce
{
    CatalogueHead head;
    /// The store revision of the head's last write; 0 when there is none.
    std::uint64_t headModRevision = 0;
    /// The change by which each entry is in force, by name.
    std::vector<CatalogueChange> entries;
};

/// What an operator wants of one entry; no entry deletes it.
struct CatalogueEdit
{
    EntryName name;
    std::optional<CatalogueEntry> entry;
};

/// Edits that take effect together or not at all.
struct CatalogueEdits
{
    std::vector<CatalogueEdit> edits;
    std::string author;
    /// Refuse when one of the entries changed after this revision. Empty takes the revision that is
    /// read first, so that only a race is refused.
    std::optional<Revision> expectRevision;
    /// Chosen by the operator's command; unique to these edits.
    std::string changeId;
    WallTime acceptedAt {};
};

/// Another operator changed one of the entries first. Nothing was applied.
struct CatalogueConflict
{
    Revision expected;
    CatalogueChange other;
};

/// The expected revision is ahead of the store's catalogue. Nothing was applied.
struct RevisionAhead
{
    Revision expected;
    Revision head;
};

/// An entry to be deleted does not exist. Nothing was applied.
struct EntryNotFound
{
    EntryName name;
};

/// The store did not tell whether the change took effect, and could not be asked again.
struct ChangeUncertain
{
    Revision revision;
    std::string changeId;
};

/// Too many other changes came between; nothing was applied.
struct CatalogueBusy
{
    std::uint32_t attempts = 0;
};

/// Reads and changes the catalogue in the key-value service by compare-and-swap.
/// Calls fail with StoreFailure, MalformedInput or InvalidInput besides what they name.
class CatalogueClient
{
public:
    /// The timeout holds for one call; a lost reply is followed up for the patience.
    CatalogueClient(StoreSession &store, Duration timeout, Duration patience);

    boost::leaf::result<CatalogueInForce> readInForce();

    /// The changes from one revision up to and with another, in order.
    boost::leaf::result<std::vector<CatalogueChange>> readChanges(Revision first, Revision last);

    /// Applies all edits in one transaction and returns their changes. Fails with
    /// CatalogueConflict, RevisionAhead, EntryNotFound, CatalogueBusy or ChangeUncertain.
    boost::leaf::result<std::vector<CatalogueChange>> apply(const CatalogueEdits &edits);

private:
    boost::leaf::result<void> refuseChangedSince(Revision revision, const CatalogueEdits &edits,
                                                 const CatalogueInForce &inForce);
    boost::leaf::result<bool> commit(const CatalogueInForce &inForce,
                                     const std::vector<CatalogueChange> &changes);

    StoreSession &store;
    Duration timeout;
    Duration patience;
};

} // namespace lagoondeck
