#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "logic/effects.h"

#include <cstddef>
#include <map>
#include <span>
#include <vector>

namespace lagoondeck {

/// What this instance's own attempts tell about its network path to the targets.
///
/// A fault of one target leaves the others answering. If several targets fail and no other one
/// answers, what they have in common is likely to be at fault: this instance's path to them.
/// Connections that break are no sign of that, because targets break them too; if the path is
/// broken, no new ones can be made.
class PathEvidence
{
public:
    /// Called when a target replied. A reply on a connection from earlier does not show that new
    /// connections can be made.
    void onReply(bool onNewConnection, Instant now);
    /// Called when a connection was made.
    void onConnected() { this->unconnectable.clear(); }
    void onConnectFailed(const TargetId &target, Instant now);
    /// Called with the targets whose replies are overdue.
    void onSilence(std::span<const TargetId> targets, Instant now);
    /// Forgets all failures.
    void clear();
    bool empty() const { return this->unconnectable.empty() && this->unresponsive.empty(); }

    /// Returns true if the failures are unlikely to be the fault of single targets. `usableTargets`
    /// is the number of targets in use.
    bool suggestsBrokenPath(std::size_t usableTargets, Instant now) const;
    /// Returns how many targets could not be connected to since the last connection was made.
    std::size_t unconnectableTargets(Instant now) const;
    /// Returns how many targets did not reply since the last reply of any target.
    std::size_t unresponsiveTargets(Instant now) const;
    /// Returns the evidence as fields of a log line.
    std::vector<LogField> logFields(Instant now) const;
    /// Returns when the last target replied; Instant::min() if none has.
    Instant lastReplyAt() const { return this->repliedAt; }
    /// No more targets than this need to fail.
    static constexpr std::size_t maxRequiredTargets = 3;

private:
    /// When each target failed last.
    using Failures = std::map<TargetId, Instant>;

    static std::size_t countRecent(const Failures &failures, Instant now);

    /// Failures since the last connection was made.
    Failures unconnectable;
    /// Failures since the last reply.
    Failures unresponsive;
    Instant repliedAt = Instant::min();
};

} // namespace lagoondeck
