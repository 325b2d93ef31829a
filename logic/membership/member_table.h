#pragma once

#include "core/instance_list.h"
#include "core/time.h"
#include "logic/membership/member.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lagoondeck {

/// The effect of a received record on the table.
enum class MemberChange {
    None,
    Joined,
    Suspected,
    Leaving, ///< It announced that it is leaving.
    Lost,    ///< It is dead without having announced that it was leaving.
    Stopped, ///< It is dead after having announced that it was leaving.
    Revived, ///< It refuted that it is suspect or dead.
    Renewed, ///< Only the incarnation increased.
};

/// All members known to this instance. Dead members are retained for a while, so that delayed
/// messages do not revive them. Of two records of a member the one with the higher incarnation
/// takes precedence, then the one with the later status.
class MemberTable
{
public:
    explicit MemberTable(Member self);

    const MembershipView &view() const { return this->current; }
    const Member &self() const { return this->current.self; }
    const Member *find(const InstanceId &id) const;

    /// Merges a received record of another member into the table.
    MemberChange merge(const Member &record, Instant now);
    /// Marks all members as not listed. Called before a new reading of the platform's list is
    /// applied.
    void clearListed();
    /// Marks a member as listed by the platform.
    void setListed(const InstanceId &id);
    /// Sets the status and incarnation of this instance.
    void setSelf(MemberStatus status, std::uint64_t incarnation);

    /// Returns the members that have been suspect since the given instant or longer.
    std::vector<Member> suspectedBefore(Instant instant) const;
    /// Restarts the timeout of all suspicions. Called after this process was paused.
    void restartSuspicions(Instant now);
    /// Returns the members that this instance considers dead although the platform lists them.
    std::vector<Member> deadButListed() const;
    /// Removes dead, unlisted members after the retention time.
    void removeExpired(Instant now);

private:
    struct Entry
    {
        Member member;
        /// When the current record was received.
        Instant since {};
        bool listed = false;
    };

    void rebuildView();

    MembershipView current;
    std::map<InstanceId, Entry> entries;
};

} // namespace lagoondeck
