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

/// How strongly a request is suspected of crashing its targets.
enum class Suspicion {
    None,
    Cooling,     ///< It lost a target very recently and is refused for now.
    Suspect,     ///< It lost a target and may run on one target at a time.
    Quarantined, ///< At least two queries with it lost at least two different targets in total.
};

/// Tracks the requests whose targets were lost while running them, as observed by this instance and
/// its peers.
///
/// One query may lose several targets when a rack fails. Therefore only losses of different queries
/// count as separate evidence.
class SuspectTracker
{
public:
    Suspicion suspicion(Fingerprint fingerprint, Instant now) const;
    /// Called when a target is lost while running the request. The query name must be unique in the
    /// cell.
    void recordLoss(Fingerprint fingerprint, const TargetId &target, const std::string &query,
                    Instant now);
    /// Called when a target has run the request without crashing. Quarantined requests stay
    /// quarantined.
    void clear(Fingerprint fingerprint);
    /// Merges a peer's record. Returns true when it added evidence.
    bool merge(const proto::QuarantineRecord &record, Instant now);
    void removeExpired(Instant now);

    /// Adds the latest records to the message, up to a fixed number.
    void writeLatestRecords(proto::PeerMessage &message, Instant now) const;
    void writeRecord(Fingerprint fingerprint, proto::PeerMessage &message, Instant now) const;
    std::size_t size() const { return this->suspects.size(); }

private:
    struct Suspect
    {
        std::set<std::string> targets;
        std::set<std::string> queries;
        Instant lastLossAt {};
        Instant expiresAt {};

        bool isQuarantined() const { return this->targets.size() > 1 && this->queries.size() > 1; }
    };

    Suspect &suspectOf(Fingerprint fingerprint);

    std::unordered_map<Fingerprint, Suspect> suspects;
};

} // namespace lagoondeck
