#pragma once

#include "core/ids.h"

#include <map>
#include <vector>

namespace lagoondeck {

struct ClientAccount;
struct Route;

/// The region of each failure domain, from the settings.
using DomainRegions = std::map<FailureDomain, Region>;

/// In which regions a request may be served. Where the route and the account both name regions,
/// both restrictions apply. A domain whose region is unknown is then not allowed.
///
/// Refers to the configuration with which the request was admitted.
class RegionRule
{
public:
    /// Allows every domain.
    RegionRule() = default;
    /// `account` is null if the request has none.
    RegionRule(const Route &route, const ClientAccount *account);

    /// Returns whether every domain is allowed.
    bool isOpen() const { return this->routeRegions == nullptr && this->accountRegions == nullptr; }
    /// Returns whether the request may go to targets in the domain.
    bool allowsTargetsIn(const FailureDomain &domain, const DomainRegions &regions) const;
    /// Returns whether the request may be sent to a member in the domain: in an allowed region, or
    /// in the region of the instance that has the request.
    bool allowsMembersIn(const FailureDomain &domain, const FailureDomain &ownDomain,
                         const DomainRegions &regions) const;

private:
    /// Null if the list is empty.
    const std::vector<Region> *routeRegions = nullptr;
    const std::vector<Region> *accountRegions = nullptr;
};

} // namespace lagoondeck
