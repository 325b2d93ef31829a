#pragma once

#include "core/catalogue_entry.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

namespace lagoondeck {

/// Reads the entries of several files, each one entry or an array of entries; "-" reads the
/// standard input. Either all of them pass the checks or InvalidInput names every wrong field of
/// every file. An entry that is named twice is a conflict.
boost::leaf::result<std::vector<CatalogueEntry>>
readEntryFiles(const std::vector<std::string> &paths);

} // namespace lagoondeck
