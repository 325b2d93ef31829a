#include "logic/gateway/helper_choice.h"

#include "logic/gateway/coordinator_health.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

/// A list is searched from a random place for at most this many members.
constexpr std::size_t maxSearched = 32;

/// Returns members in a random order, without those that are avoided.
std::vector<const MemberRecord *> pick(const std::vector<MemberRecord> &members, std::size_t count,
                                       const CoordinatorHealth &health, Instant now,
                                       RandomEngine &random)
{
    std::vector<const MemberRecord *> picked;
    if (members.empty()) {
        return picked;
    }
    std::uniform_int_distribution<std::size_t> anyPlace(0, members.size() - 1);
    const std::size_t begin = anyPlace(random);
    for (std::size_t i = 0; i < std::min(members.size(), maxSearched); ++i) {
        const MemberRecord &member = members[(begin + i) % members.size()];
        if (!health.isAvoided(member.id, now)) {
            picked.push_back(&member);
        }
    }
    std::ranges::shuffle(picked, random);
    picked.resize(std::min(picked.size(), count));
    return picked;
}

} // namespace

void HelperChoice::setMembers(const std::vector<MemberRecord> &members, const InstanceId &self,
                              const FailureDomain &domain)
{
    this->nearMembers.clear();
    this->farMembers.clear();
    for (const MemberRecord &member : members) {
        if (member.id != self) {
            (member.failureDomain == domain ? this->nearMembers : this->farMembers)
                    .push_back(member);
        }
    }
}

std::vector<MemberRecord> HelperChoice::choose(std::size_t count, const CoordinatorHealth &health,
                                               Instant now, RandomEngine &random) const
{
    const auto near = pick(this->nearMembers, count, health, now, random);
    const auto far = pick(this->farMembers, count, health, now, random);
    std::vector<MemberRecord> chosen;
    for (std::size_t i = 0; i < count && chosen.size() < count; ++i) {
        if (i < near.size()) {
            chosen.push_back(*near[i]);
        }
        if (i < far.size() && chosen.size() < count) {
            chosen.push_back(*far[i]);
        }
    }
    return chosen;
}

} // namespace lagoondeck
