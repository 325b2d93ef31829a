#include "logic/catalogue/watcher_choice.h"

#include "logic/membership/member.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>
#include <xxhash.h>

namespace lagoondeck {

namespace {

constexpr std::size_t minWatchers = 3;
constexpr std::string_view hashSalt = "catalogue-watcher/";

struct Candidate
{
    std::uint64_t weight = 0;
    const Member *member = nullptr;
};

std::uint64_t weightOf(const Member &member)
{
    const std::uint64_t seed = XXH3_64bits(hashSalt.data(), hashSalt.size());
    return XXH3_64bits_withSeed(member.id.value.data(), member.id.value.size(), seed);
}

std::vector<Candidate> rankedCandidates(const MembershipView &view)
{
    std::vector<Candidate> candidates {{weightOf(view.self), &view.self}};
    for (const Member &member : view.others) {
        if (member.status == MemberStatus::Alive) {
            candidates.push_back({weightOf(member), &member});
        }
    }
    std::ranges::sort(candidates, [](const Candidate &left, const Candidate &right) {
        return left.weight != right.weight ? left.weight > right.weight
                                           : left.member->id < right.member->id;
    });
    return candidates;
}

} // namespace

std::vector<InstanceId> chooseWatchers(const MembershipView &view)
{
    std::vector<InstanceId> chosen;
    std::vector<InstanceId> rest;
    std::set<FailureDomain> domains;
    for (const Candidate &candidate : rankedCandidates(view)) {
        const bool isFirstInDomain = domains.insert(candidate.member->failureDomain).second;
        (isFirstInDomain ? chosen : rest).push_back(candidate.member->id);
    }
    for (auto next = rest.begin(); next != rest.end() && chosen.size() < minWatchers; ++next) {
        chosen.push_back(*next);
    }
    return chosen;
}

bool isWatcher(const MembershipView &view)
{
    const std::vector<InstanceId> watchers = chooseWatchers(view);
    return std::ranges::find(watchers, view.self.id) != watchers.end();
}

} // namespace lagoondeck
