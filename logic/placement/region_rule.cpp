#include "logic/placement/region_rule.h"

#include "core/client_account.h"
#include "core/routing_config.h"

#include <algorithm>

namespace lagoondeck {

namespace {

const std::vector<Region> *orNull(const std::vector<Region> &regions)
{
    return regions.empty() ? nullptr : &regions;
}

bool contains(const std::vector<Region> *regions, const Region &region)
{
    return regions == nullptr || std::ranges::find(*regions, region) != regions->end();
}

} // namespace

RegionRule::RegionRule(const Route &route, const ClientAccount *account)
    : routeRegions(orNull(route.allowedRegions)),
      accountRegions(account == nullptr ? nullptr : orNull(account->allowedRegions))
{ }

bool RegionRule::allowsTargetsIn(const FailureDomain &domain, const DomainRegions &regions) const
{
    if (this->isOpen()) {
        return true;
    }
    const auto found = regions.find(domain);
    return found != regions.end() && contains(this->routeRegions, found->second)
            && contains(this->accountRegions, found->second);
}

bool RegionRule::allowsMembersIn(const FailureDomain &domain, const FailureDomain &ownDomain,
                                 const DomainRegions &regions) const
{
    if (domain == ownDomain || this->allowsTargetsIn(domain, regions)) {
        return true;
    }
    const auto own = regions.find(ownDomain);
    const auto other = regions.find(domain);
    return own != regions.end() && other != regions.end() && own->second == other->second;
}

} // namespace lagoondeck
