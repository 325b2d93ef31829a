#include "logic/gateway/coordinator_ranking.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <xxhash.h>

namespace lagoondeck {

namespace {

/// How many coordinators of a domain an instance uses. The second one takes over if the first
/// fails.
constexpr std::size_t coordinatorsPerInstance = 2;
/// The number of instances that one coordinator is connected to is kept near this.
constexpr std::size_t instancesPerCoordinator = 100;
/// With fewer members per coordinator than this, a coordinator sees hardly more requests than any
/// other member, and the detour through it is not worth its time.
constexpr std::size_t minMembersPerCoordinator = 3;

std::uint64_t hashOf(const std::string &first, const std::string &second)
{
    const std::string text = first + "|" + second;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

CoordinatorRanking rankCoordinators(const std::map<std::string, MemberRecord> &members,
                                    const std::vector<FailureDomain> &domains,
                                    const InstanceId &self)
{
    CoordinatorRanking ranking;
    if (domains.empty()) {
        return ranking;
    }
    const std::size_t instances = members.size() / domains.size();
    const std::size_t perDomain =
            std::max((instances + instancesPerCoordinator - 1) / instancesPerCoordinator,
                     coordinatorsPerInstance);
    for (const FailureDomain &domain : domains) {
        DomainCoordinators candidates {domain, {}};
        for (const auto &[id, member] : members) {
            if (member.failureDomain == domain && member.partsPerSecond > 0) {
                candidates.members.push_back(member);
            }
        }
        std::ranges::sort(candidates.members, std::greater {}, [](const MemberRecord &member) {
            return std::tuple(member.partsPerSecond, hashOf(member.id.value, ""), member.id);
        });
        candidates.members.resize(std::min(candidates.members.size(), perDomain));
        ranking.coordinators.insert(ranking.coordinators.end(), candidates.members.begin(),
                                    candidates.members.end());
        ranking.includesSelf = ranking.includesSelf
                || std::ranges::find(candidates.members, self, &MemberRecord::id)
                        != candidates.members.end();
        std::ranges::sort(candidates.members, std::greater {}, [&](const MemberRecord &member) {
            return hashOf(self.value, member.id.value);
        });
        candidates.members.resize(std::min(candidates.members.size(), coordinatorsPerInstance));
        if (!candidates.members.empty()) {
            ranking.domains.push_back(std::move(candidates));
        }
    }
    if (ranking.coordinators.size() * minMembersPerCoordinator > members.size()) {
        return {};
    }
    return ranking;
}

} // namespace lagoondeck
