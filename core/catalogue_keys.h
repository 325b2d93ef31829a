#pragma once

#include "core/ids.h"

#include <string>
#include <string_view>

namespace lagoondeck {

/// Keys [first, end) of the key-value service.
struct KeyRange
{
    std::string first;
    std::string end;
};

/// The key of the catalogue's head, which every change compares and writes.
std::string catalogueHeadKey();

/// The key of one change; keys of changes sort by their revisions.
std::string catalogueChangeKey(Revision revision);

/// The key of the change by which an entry is in force.
std::string catalogueEntryKey(const EntryName &name);

/// All entries in force together with the head, so that one read sees them at one moment.
KeyRange catalogueInForceRange();

/// The changes from one revision up to and with another.
KeyRange catalogueChangeRange(Revision first, Revision last);

/// The first key after all changes.
std::string catalogueChangesEnd();

bool isCatalogueEntryKey(std::string_view key);
bool isCatalogueChangeKey(std::string_view key);

} // namespace lagoondeck
