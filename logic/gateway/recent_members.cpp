#include "logic/gateway/recent_members.h"

namespace lagoondeck {

namespace {

/// A running instance has registered again within this time after its registration expired: it
/// renews every 4 s, and failed calls are repeated after a second.
constexpr Duration registrationGrace = std::chrono::seconds(8);

} // namespace

bool RecentMembers::update(const std::map<std::string, MemberRecord> &registered, Instant now)
{
    bool changed = false;
    for (const auto &[id, record] : registered) {
        const auto [entry, isNew] = this->members.try_emplace(id);
        changed = changed || isNew || entry->second.record != record;
        entry->second = {record, now};
    }
    const std::size_t removed = std::erase_if(this->members, [now](const auto &entry) {
        return now - entry.second.registeredAt >= registrationGrace;
    });
    return changed || removed > 0;
}

std::vector<MemberRecord> RecentMembers::all() const
{
    std::vector<MemberRecord> records;
    records.reserve(this->members.size());
    for (const auto &[id, member] : this->members) {
        records.push_back(member.record);
    }
    return records;
}

} // namespace lagoondeck
