#include "logic/placement/covering_domains.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace lagoondeck {

namespace {

/// A failure domain covers the gathered groups if it holds at least this fraction of the groups
/// that the best domain holds.
constexpr double coveringFraction = 0.9;

} // namespace

std::vector<FailureDomain> coveringDomains(const std::vector<std::set<FailureDomain>> &groups)
{
    std::map<FailureDomain, std::size_t> groupsByDomain;
    std::size_t most = 0;
    for (const std::set<FailureDomain> &domains : groups) {
        for (const FailureDomain &domain : domains) {
            most = std::max(most, ++groupsByDomain[domain]);
        }
    }
    std::vector<FailureDomain> covering;
    for (const auto &[domain, count] : groupsByDomain) {
        if (static_cast<double>(count) >= coveringFraction * static_cast<double>(most)) {
            covering.push_back(domain);
        }
    }
    return covering;
}

} // namespace lagoondeck
