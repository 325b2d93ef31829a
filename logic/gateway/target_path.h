#pragma once

#include "core/time.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"
#include "logic/gateway/path_evidence.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <span>

namespace lagoondeck {

class TargetRegistry;

/// The state of this instance's network path to the targets.
enum class PathState {
    Up,
    Suspect,    ///< Many targets fail at once; probes are under way.
    Down,       ///< The probes failed too.
    Recovering, ///< The path works again and carries a growing share of the requests.
};

const char *toString(PathState state);

/// A change of the path's state that concerns running requests.
enum class PathChange {
    Broke,           ///< The path is down.
    Returned,        ///< The path was down and works again.
    ConnectionsDied, ///< The path works, but the open connections don't.
};

/// Decides whether this instance's own network path to the targets works.
///
/// If this instance's attempts suggest that the path is broken, it connects to a few other targets.
/// If one of these probes succeeds, the fault lies with the targets that failed, or with
/// connections that fell silent. If all fail, the path is down until a later probe succeeds.
///
/// A path that works again carries few requests at first, so that the instances that come back
/// together don't open all their connections at once, and so that a path that fails again soon
/// costs few requests. The more often it has failed lately, the slower this is.
class TargetPath
{
public:
    explicit TargetPath(const TargetRegistry &targets) : targets(targets) { }

    // What this instance's attempts show.

    void onReply(bool onNewConnection, GatewayContext &context);
    void onConnectFailed(const TargetId &target, GatewayContext &context);
    /// Called with the targets whose replies are overdue while no other one replies.
    void onSilence(std::span<const TargetId> silent, GatewayContext &context);

    void onProbed(const PathProbed &event, GatewayContext &context);
    /// Probes the path even if nothing suggests that it is broken.
    void check(GatewayContext &context);
    void onTimer(GatewayContext &context);
    /// Returns when onTimer() must be called next.
    Instant nextTimer() const { return this->timerAt; }

    PathState state() const { return this->pathState; }
    /// Returns whether the path should carry a request that arrives now.
    bool carriesRequest(GatewayContext &context) const;
    /// Returns whether the path is down and nothing arrives on open connections either.
    bool isSilent(Instant now) const;
    /// Returns when the last target replied; Instant::min() if none has.
    Instant lastReplyAt() const { return this->evidence.lastReplyAt(); }
    /// Returns when the path was last seen to work, by a reply or a probe; Instant::min() if never.
    Instant provedAt() const { return std::max(this->lastReplyAt(), this->lastProbeSuccessAt); }
    /// Returns the oldest change that has not been returned yet.
    std::optional<PathChange> takeChange();

private:
    /// Why the path is suspected.
    enum class Cause {
        Silence,    ///< Targets don't reply.
        NoConnects, ///< No connection can be made.
    };

    void suspectIfBroken(GatewayContext &context);
    void becomeSuspect(Cause suspectedCause, GatewayContext &context);
    void sendProbes(std::size_t count, GatewayContext &context);
    void becomeUp(GatewayContext &context);
    void becomeDown(GatewayContext &context);
    void becomeRecovering(GatewayContext &context);
    /// Called when the path turns out to work.
    void onWorking(bool provedByProbe, GatewayContext &context);
    Duration timeUntilNextProbe(GatewayContext &context) const;

    const TargetRegistry &targets;
    PathEvidence evidence;
    PathState pathState = PathState::Up;
    Cause cause = Cause::Silence;
    Instant timerAt = Instant::max();
    /// The probes that have not ended.
    std::set<std::uint64_t> openProbes;
    std::uint64_t lastProbe = 0;
    Instant lastProbeSuccessAt = Instant::min();
    /// When the path was suspected first, before it was down.
    Instant brokenSince {};
    /// The share of the requests grows from recoveringSince to recoveredAt.
    Instant recoveringSince {};
    Instant recoveredAt {};
    /// How many times the path was down lately.
    std::uint32_t recentBreaks = 0;
    Instant lastBreakAt {};
    /// After suspicions that proved wrong, the path is not suspected for a while.
    Instant notSuspectedUntil {};
    std::uint32_t falseSuspicions = 0;
    std::optional<PathChange> change;
};

} // namespace lagoondeck
