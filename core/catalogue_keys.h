#pragma once

#include "core/ids.h"

#include <string>
#include <string_view>

namespace lagoondeck {

/// The half-open range [first, end) of keys in the key-value service.
struct KeyRange
{
    std::string first;
    std::string end;
};

/// Returns the key of the catalogue's head. Every change compares and overwrites its value.
std::string catalogueHeadKey();

/// Returns the key of one change. Keys of changes sort by their revisions.
std::string catalogueChangeKey(Revision revision);

/// Returns the key under which the store holds the change that put an entry in force.
std::string catalogueEntryKey(const EntryName &name);

/// Returns the range of all entries in force and the head, so that one read returns them as of the
/// same store revision.
KeyRange catalogueInForceRange();

/// Returns the range of the changes from one revision to another, both included.
KeyRange catalogueChangeRange(Revision first, Revision last);

/// Returns the first key after all changes.
std::string catalogueChangesEnd();

bool isCatalogueEntryKey(std::string_view key);
bool isCatalogueChangeKey(std::string_view key);

} // namespace lagoondeck
