#pragma once

#include "core/time.h"
#include "logic/workload/turn_order.h"
#include "logic/workload/waiting_part.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace lagoondeck {

/// The parts that wait for a target of one group, in the order in which they are served: more
/// urgent priorities first, equal turns for the accounts of a priority and for the callers of an
/// account, and the oldest part of a caller first.
///
/// A priority is guaranteed a fraction of the share of parts that is served over all: what it is
/// short of is served before everything else. That keeps less urgent priorities from starving, and
/// takes at most this fraction of the capacity. Within a priority the turns are enough: an account
/// gets less than the others only if it has less to send.
///
/// Each operation costs the logarithm of the number of waiting parts.
class FairQueue
{
public:
    /// A waiting part and the time after which sending it is useless.
    struct Entry
    {
        WaitingPart part;
        Instant startBy {};
    };

    /// Adds a part that does not wait already.
    void add(const WaitingPart &part, const WaitingSender &sender, Instant startBy);
    /// Counts a part that was refused without being added.
    void countRefused(const WaitingSender &sender);
    /// Returns the part that is served next, or null if nothing waits.
    const Entry *next() const;
    /// Removes the part that next() returns, because it is served.
    void takeNext();
    /// Removes a part that is not served. Does nothing if it does not wait.
    void remove(const WaitingPart &part);
    /// Changes until when a waiting part may be sent. Does nothing if it does not wait.
    void setStartBy(const WaitingPart &part, Instant startBy);
    /// Returns the part that is served after all others, or null if nothing waits.
    const Entry *last() const;
    /// Returns true if the guarantee of its priority may let last() pass others.
    bool mayLastPassOthers() const;
    /// Returns how many parts are certainly served before a new one of the sender.
    std::size_t countAhead(const WaitingSender &sender);

    std::size_t size() const { return this->locations.size(); }
    /// The number of waiting parts by urgency rank.
    std::map<std::uint32_t, std::size_t> sizes() const;
    /// How many parts were served before their turn because of the guarantee.
    std::uint64_t servedByGuarantee() const { return this->guaranteedCount; }
    /// Returns how many accounts and callers are remembered, those that have nothing waiting
    /// included.
    std::size_t rememberedSenders() const;

private:
    struct CallerContent
    {
        std::list<Entry> entries;
    };
    using Callers = TurnOrder<CallerContent>;
    struct AccountContent
    {
        AccountContent();

        Callers callers;
        std::uint32_t rank = 0;
    };
    using Accounts = TurnOrder<AccountContent>;
    struct Priority
    {
        Priority();

        bool isOwed() const { return this->shortage >= 1.0 && this->waiting > 0; }

        Accounts accounts;
        std::size_t waiting = 0;
        /// How many parts have to be served for the guarantee.
        double shortage = 0.0;
    };
    struct Location
    {
        Accounts::Member *account = nullptr;
        Callers::Member *caller = nullptr;
        std::list<Entry>::iterator entry;
    };

    static Accounts::Member &accountOf(Priority &priority, const WaitingSender &sender);
    /// Adds to the priority's guarantee for one more part.
    void countOffered(Priority &priority) const;
    void erase(std::unordered_map<WaitingPart, Location>::iterator found, bool served);
    /// Returns the priority that is served next, or null if nothing waits.
    const Priority *nextPriority() const;
    const Priority *lastPriority() const;

    /// By urgency rank. There are as many as priorities in the configuration.
    std::map<std::uint32_t, Priority> priorities;
    std::unordered_map<WaitingPart, Location> locations;
    /// The share of the latest parts that were served.
    double servedShare = 1.0;
    std::uint64_t guaranteedCount = 0;
};

} // namespace lagoondeck
