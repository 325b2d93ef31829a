#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "logic/quarantine/fingerprint.h"

#include <set>
#include <string>
#include <unordered_map>

namespace lagoondeck {

namespace proto {
class PeerMessage;
class QuarantineRecord;
} // namespace proto

/// How a request stands.
enum class Suspicion {
    None,
    Cooling,     ///< It has just lost a target; it must wait.
    Suspect,     ///< It lost a target; it may run on one target at a time.
    Quarantined, ///< Two queries with it lost two targets.
};

/// The requests that lost targets while they ran, as this node and its peers saw it.
///
/// One query may lose several targets when a rack fails, so that only losses of different queries
/// count as separate evidence.
class SuspectBook
{
public:
    Suspicion suspicion(Fingerprint fingerprint, Instant now) const;
    /// A query lost a target while the target ran the request. The name tells the query in the
    /// cell.
    void addLoss(Fingerprint fingerprint, const TargetId &target, const std::string &query,
                 Instant now);
    /// A target ran the request and lives.
    void clear(Fingerprint fingerprint);
    /// Takes a peer's record; says whether it told anything new.
    bool merge(const proto::QuarantineRecord &record, Instant now);
    void expire(Instant now);

    /// Adds the latest records to a message.
    void fill(proto::PeerMessage &message, Instant now) const;
    void fillOne(Fingerprint fingerprint, proto::PeerMessage &message, Instant now) const;
    std::size_t size() const { return this->suspects.size(); }

private:
    struct Suspect
    {
        std::set<std::string> targets;
        std::set<std::string> queries;
        Instant lastLossAt {};
        Instant until {};

        bool quarantined() const { return this->targets.size() > 1 && this->queries.size() > 1; }
    };

    Suspect &entryOf(Fingerprint fingerprint);

    std::unordered_map<Fingerprint, Suspect> suspects;
};

} // namespace lagoondeck
