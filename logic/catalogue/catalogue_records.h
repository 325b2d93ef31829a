#pragma once

#include "core/catalogue_change.h"

#include <optional>

namespace lagoondeck {

namespace proto {
class ChangeRecord;
class EntryRecord;
} // namespace proto

/// Converts an entry to its peer message record.
void writeRecord(const CatalogueEntry &entry, proto::EntryRecord &record);
/// Converts a change to its peer message record.
void writeRecord(const CatalogueChange &change, proto::ChangeRecord &record);
/// Converts a peer message record to an entry. Returns nullopt when the name is missing
/// or the deadline is not positive.
std::optional<CatalogueEntry> readRecord(const proto::EntryRecord &record);
/// Converts a peer message record to a change. Returns nullopt when it is incomplete
/// or names another entry.
std::optional<CatalogueChange> readRecord(const proto::ChangeRecord &record);

} // namespace lagoondeck
