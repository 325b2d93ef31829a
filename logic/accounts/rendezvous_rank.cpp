#include "logic/accounts/rendezvous_rank.h"

#include <xxhash.h>

namespace lagoondeck {

std::vector<RankedMember> rendezvousRanks(const std::vector<MemberRecord> &members,
                                          const std::string &name)
{
    std::vector<RankedMember> ranked;
    ranked.reserve(members.size());
    std::string text = name + "|";
    const std::size_t prefixSize = text.size();
    for (const MemberRecord &member : members) {
        text.resize(prefixSize);
        text += member.id.value;
        ranked.emplace_back(XXH3_64bits(text.data(), text.size()), &member);
    }
    return ranked;
}

} // namespace lagoondeck
