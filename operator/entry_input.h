#pragma once

#include "core/catalogue_entry.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

namespace lagoondeck {

/// Reads the entries of several files. Each file holds one entry or an array of entries; "-" reads
/// the standard input. Fails with InvalidInput, which lists every wrong field of every file, unless
/// all entries are valid. An entry that is given twice is a conflict.
boost::leaf::result<std::vector<CatalogueEntry>>
readEntryFiles(const std::vector<std::string> &paths);

} // namespace lagoondeck
