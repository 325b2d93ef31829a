#pragma once

#include "core/catalogue_change.h"
#include "core/catalogue_entry.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace lagoondeck {

/// Parses and checks one catalogue entry in JSON with comments.
/// Fails with MalformedInput, or with InvalidInput that lists every wrong field.
boost::leaf::result<CatalogueEntry> parseCatalogueEntry(std::string_view text);

/// Writes an entry as JSON that parseCatalogueEntry() reads.
std::string writeCatalogueEntry(const CatalogueEntry &entry);

/// Parses one change of the catalogue's history. Fails with the errors of parseCatalogueEntry().
boost::leaf::result<CatalogueChange> parseCatalogueChange(std::string_view text);

/// Writes one change as JSON that parseCatalogueChange() reads.
std::string writeCatalogueChange(const CatalogueChange &change);

/// Parses the catalogue's head. Fails with MalformedInput or InvalidInput.
boost::leaf::result<CatalogueHead> parseCatalogueHead(std::string_view text);

/// Writes a head as JSON that parseCatalogueHead() reads.
std::string writeCatalogueHead(const CatalogueHead &head);

} // namespace lagoondeck
