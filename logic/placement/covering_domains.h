#pragma once

#include "core/ids.h"

#include <set>
#include <vector>

namespace lagoondeck {

/// Returns the failure domains that hold a usable replica of most of the gathered groups. The
/// argument lists, for each gathered group, the domains with a usable replica of it.
std::vector<FailureDomain> coveringDomains(const std::vector<std::set<FailureDomain>> &groups);

} // namespace lagoondeck
