#pragma once

#include "core/gateway_settings.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lagoondeck {

/// Records in the store which requests are refused because they crashed targets, so that a fleet
/// whose instances all start at once still knows it.
///
/// A record is written by the instances that observed a crash, and only if it tells more than the
/// one that is there. It is kept under a lease that ends with the quarantine.
class QuarantineRecorder
{
public:
    explicit QuarantineRecorder(const GatewaySettings &settings);

    /// Called when this instance observed that the request crashed targets.
    void onObserved(Fingerprint fingerprint);
    /// Called when a request is refused for a time from now on.
    void onQuarantined(const QuarantineRecord &quarantine, Duration blockedFor,
                       GatewayContext &context);
    /// Called with a record that was read from the store.
    void onRecorded(const QuarantineRecord &quarantine);
    /// Called when targets answered requests that were refused before.
    void onCleared(Fingerprint fingerprint, GatewayContext &context);
    /// Called with the newest history of the store that is known. A store that is restored from a
    /// copy may have lost records.
    void onHistory(std::uint64_t history, GatewayContext &context);
    void onAnswer(const StoreAnswered &event, GatewayContext &context);
    void onTimer(GatewayContext &context);
    /// Returns when onTimer() must be called next.
    Instant nextTimer() const;

private:
    struct Entry
    {
        QuarantineRecord quarantine;
        Instant until {};
        /// The lease under which the record is written; 0 if none was granted yet.
        std::uint64_t lease = 0;
    };

    /// Calls the store for what is being written, or for the next entry.
    void callStore(GatewayContext &context);
    void call(StoreCallBody body, GatewayContext &context);

    Duration minLease;
    std::set<Fingerprint> observed;
    /// The crashes that the store tells, by fingerprint.
    std::map<std::uint64_t, std::uint32_t> recorded;
    /// What is being written.
    std::optional<Entry> current;
    /// What is to be written, the first entry first.
    std::deque<Entry> pending;
    /// What this instance has written.
    std::vector<Entry> written;
    std::optional<StoreOpId> operation;
    Instant nextCallAt {};
    std::uint64_t knownHistory = 0;
};

} // namespace lagoondeck
