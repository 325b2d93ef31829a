#pragma once

#include "core/target_record.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace lagoondeck {

/// Remembers which targets were leaving or gone, for the case that the store is restored from a
/// copy from before. The copy lists such a target as ready until the target or its removal is
/// written again. Meanwhile the entry is held back.
class WithdrawnTargets
{
public:
    /// Records that a target is leaving or gone.
    void add(const TargetId &target, std::int64_t startedAtMs, Instant now);
    /// The store was restored. Until the given time its entries may be older than what is known.
    void onStoreRestored(Instant doubtfulUntil) { this->doubtfulUntil = doubtfulUntil; }
    /// Returns true if an entry that a full read listed must not be used now.
    bool holdsBack(const TargetRecord &listed, Instant now);
    /// The target's entry was written again, so it is valid.
    void onWritten(const TargetId &target);
    /// Returns the targets that are no longer held back, once.
    std::vector<TargetId> takeReleased(Instant now);
    /// Returns when held back targets are released, or Instant::max().
    Instant nextRelease() const;

private:
    struct Withdrawal
    {
        std::int64_t startedAtMs = 0;
        Instant at {};
    };

    std::map<TargetId, Withdrawal> withdrawals;
    std::set<TargetId> heldBack;
    Instant doubtfulUntil {};
    Instant cleanedAt {};
};

} // namespace lagoondeck
