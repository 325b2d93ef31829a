#include "logic/membership/member_table.h"

#include <utility>

namespace lagoondeck {

namespace {

constexpr Duration deadRetention = std::chrono::seconds(60);

bool supersedes(const Member &record, const Member &known)
{
    return std::pair(record.incarnation, record.status)
            > std::pair(known.incarnation, known.status);
}

MemberChange changeOf(MemberStatus before, MemberStatus after)
{
    if (before == after) {
        return MemberChange::Renewed;
    }
    switch (after) {
    case MemberStatus::Alive:
        return MemberChange::Revived;
    case MemberStatus::Suspect:
        return MemberChange::Suspected;
    case MemberStatus::Leaving:
        return MemberChange::Leaving;
    case MemberStatus::Dead:
        return before == MemberStatus::Leaving ? MemberChange::Stopped : MemberChange::Lost;
    }
    return MemberChange::None;
}

} // namespace

MemberTable::MemberTable(Member self) : current {std::move(self), {}} { }

const Member *MemberTable::find(const InstanceId &id) const
{
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second.member;
}

MemberChange MemberTable::merge(const Member &record, Instant now)
{
    const auto found = this->entries.find(record.id);
    if (found == this->entries.end()) {
        this->entries.emplace(record.id, Entry {record, now, false});
        this->rebuildView();
        return record.status == MemberStatus::Dead ? MemberChange::None : MemberChange::Joined;
    }
    Entry &entry = found->second;
    if (!supersedes(record, entry.member)) {
        return MemberChange::None;
    }
    const MemberChange change = changeOf(entry.member.status, record.status);
    entry.member = record;
    entry.since = now;
    this->rebuildView();
    return change;
}

void MemberTable::clearListed()
{
    for (auto &[id, entry] : this->entries) {
        entry.listed = false;
    }
}

void MemberTable::setListed(const InstanceId &id)
{
    if (const auto found = this->entries.find(id); found != this->entries.end()) {
        found->second.listed = true;
    }
}

void MemberTable::setSelf(MemberStatus status, std::uint64_t incarnation)
{
    this->current.self.status = status;
    this->current.self.incarnation = incarnation;
}

std::vector<Member> MemberTable::suspectedBefore(Instant instant) const
{
    std::vector<Member> suspects;
    for (const auto &[id, entry] : this->entries) {
        if (entry.member.status == MemberStatus::Suspect && entry.since <= instant) {
            suspects.push_back(entry.member);
        }
    }
    return suspects;
}

void MemberTable::restartSuspicions(Instant now)
{
    for (auto &[id, entry] : this->entries) {
        if (entry.member.status == MemberStatus::Suspect) {
            entry.since = now;
        }
    }
}

std::vector<Member> MemberTable::deadButListed() const
{
    std::vector<Member> dead;
    for (const auto &[id, entry] : this->entries) {
        if (entry.listed && entry.member.status == MemberStatus::Dead) {
            dead.push_back(entry.member);
        }
    }
    return dead;
}

void MemberTable::removeExpired(Instant now)
{
    std::erase_if(this->entries, [now](const auto &item) {
        const Entry &entry = item.second;
        return entry.member.status == MemberStatus::Dead && !entry.listed
                && now - entry.since > deadRetention;
    });
}

void MemberTable::rebuildView()
{
    this->current.others.clear();
    for (const auto &[id, entry] : this->entries) {
        if (entry.member.status != MemberStatus::Dead) {
            this->current.others.push_back(entry.member);
        }
    }
}

} // namespace lagoondeck
