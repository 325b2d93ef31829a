#pragma once

#include "core/catalogue_change.h"

#include <optional>

namespace lagoondeck {

namespace proto {
class ChangeRecord;
class EntryRecord;
} // namespace proto

/// Writes an entry as a peer message carries it.
void writeRecord(const CatalogueEntry &entry, proto::EntryRecord &record);
/// Writes a change as a peer message carries it.
void writeRecord(const CatalogueChange &change, proto::ChangeRecord &record);
/// Reads an entry of a peer message; empty when it names nothing.
std::optional<CatalogueEntry> readRecord(const proto::EntryRecord &record);
/// Reads a change of a peer message; empty when it is not whole.
std::optional<CatalogueChange> readRecord(const proto::ChangeRecord &record);

} // namespace lagoondeck
