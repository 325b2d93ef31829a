#pragma once

#include "core/instance_list.h"
#include "core/time.h"
#include "logic/membership/member.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lagoondeck {

/// What a record changed in the table.
enum class MemberChange {
    None,
    Joined,
    Suspected,
    Left,    ///< It announced that it leaves.
    Lost,    ///< It is dead and did not announce it.
    Ended,   ///< It is dead and had announced it.
    Revived, ///< A suspicion or a death was refuted.
    Renewed, ///< Only the incarnation grew.
};

/// All members this node knows of, the dead for a while too, so that late news does not revive
/// them. Of two records of a member the one of the higher incarnation wins, then the later status.
class MemberTable
{
public:
    explicit MemberTable(Member self);

    const MembershipView &view() const { return this->current; }
    const Member &self() const { return this->current.self; }
    const Member *find(const InstanceId &id) const;

    /// Takes a record of another member.
    MemberChange merge(const Member &record, Instant now);
    /// Begins a new reading of the platform's list.
    void clearListed();
    /// Notes that the platform lists a member.
    void setListed(const InstanceId &id);
    /// Sets the own status and incarnation.
    void setSelf(MemberStatus status, std::uint64_t incarnation);

    /// Suspects since an instant or earlier.
    std::vector<Member> suspectsSince(Instant instant) const;
    /// After an own pause: all suspicions begin anew.
    void restartSuspicions(Instant now);
    /// Members that are dead here although the platform lists them.
    std::vector<Member> listedDead() const;
    /// Forgets the dead that are not listed after a while.
    void forgetOld(Instant now);

private:
    struct Known
    {
        Member member;
        /// When the status was taken.
        Instant since {};
        bool listed = false;
    };

    void rebuildView();

    MembershipView current;
    std::map<InstanceId, Known> known;
};

} // namespace lagoondeck
