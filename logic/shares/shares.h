#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "logic/shares/demand_table.h"
#include "logic/shares/node_limits.h"
#include "logic/shares/sliding_window_minimum.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace lagoondeck {

class Catalogue;
class Membership;
struct CatalogueEntry;
struct Context;

namespace proto {
class PeerMessage;
}

/// This instance's shares of the limits that apply to the whole cell.
///
/// Members exchange their demand for each entry. While records of all members arrive, each instance
/// divides the limit by the same rule and the same demand. While a member is silent, all members
/// use equal shares, which needs no communication. A share shrinks at once but grows only after the
/// time in which a record reaches all members, so that the sum stays within the limit while the
/// instances have different records. A member that is dead in this instance's view but still listed
/// by the platform keeps its share, because it may be partitioned and still admit queries.
class Shares
{
public:
    /// Both references must outlive this object.
    Shares(const Catalogue &catalogue, const Membership &membership);

    /// Sets the first timer.
    void start(Context &context);
    /// Called when the timer TimerKind::Shares fires.
    void onTimer(Context &context);
    void onPeerMessage(const proto::PeerMessage &message, Context &context);

    /// Sets the demand of callers on this instance: the offered queries per second, whether
    /// admitted or refused, and the queries that would be in flight. It applies until the next
    /// call.
    void setDemand(const EntryName &entry, double rate, double inFlight);

    /// Returns the queries per second that this instance may admit, 0 for an unknown entry.
    double rateShare(const EntryName &entry) const;
    /// Returns the number of queries that this instance may have in flight, 0 for an unknown entry.
    double concurrencyShare(const EntryName &entry) const;
    /// Returns the limits of this instance. At least one query may be in flight, so that a limit
    /// below the number of instances does not exclude an instance.
    NodeLimits limitsOf(const EntryName &entry) const;
    /// Returns true when records of all members are recent, so that the limits are divided by
    /// demand.
    bool isBalanced() const { return this->allMembersHeard; }

private:
    struct EntryShare
    {
        SlidingWindowMinimum rate;
        SlidingWindowMinimum concurrency;
    };

    struct ShareValues
    {
        double rate = 0.0;
        double concurrency = 0.0;
    };

    std::vector<DemandTable::MemberHash> members() const;
    void publish(Context &context);
    void recompute(Instant now);
    void recomputeEntry(const CatalogueEntry &entry,
                        const std::vector<DemandTable::MemberHash> &members, Instant now);
    static ShareValues equalShare(const CatalogueEntry &entry, std::size_t members);
    ShareValues initialShare(const CatalogueEntry &entry) const;
    void send(Context &context) const;
    void setTimer(Context &context) const;

    const Catalogue &catalogue;
    const Membership &membership;
    DemandTable table;
    std::map<EntryName, Demand> localDemands;
    std::map<EntryName, Demand> publishedDemands;
    std::map<EntryName, EntryShare> shares;
    std::uint64_t sequence = 0;
    Instant startedAt {};
    Instant lastTimerAt {};
    bool allMembersHeard = false;
};

} // namespace lagoondeck
