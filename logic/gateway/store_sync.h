#pragma once

#include "core/gateway_settings.h"
#include "core/store_position.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"
#include "logic/gateway/route_table.h"
#include "logic/gateway/store_answer_time.h"
#include "logic/gateway/store_health.h"
#include "logic/gateway/target_registry.h"
#include "logic/gateway/withdrawn_targets.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace lagoondeck {

/// Keeps this instance's known state in step with the platform's store: the configuration in force,
/// the targets and the other members. It reads the whole store once and then watches for changes.
/// It pauses between two watch calls, because each call costs the platform something and the
/// targets' heartbeats alone would otherwise end each watch after a few milliseconds.
///
/// A member that has read changes sends them to the other members along a relay tree, and a member
/// that receives such an update postpones its own call. Usually only the first member by name
/// therefore calls the store, and the next one takes over when the first sends nothing. A member
/// whose parent in the tree relays nothing calls the store itself. An instance that can't reach the
/// store requests the whole known state from a member or a seed.
///
/// A store that is restored from a copy begins a new history, which all of its answers and all
/// updates tell. Everything is then read again. What the copy lost comes back within seconds, and
/// until then neither an older configuration nor a withdrawn target is taken from it.
class StoreSync
{
public:
    StoreSync(const GatewaySettings &settings, TargetRegistry &targets);

    void start(GatewayContext &context);
    void onAnswer(const StoreAnswered &event, GatewayContext &context);
    void onUpdate(const StoreUpdateReceived &event, GatewayContext &context);
    void onTimer(GatewayContext &context);
    /// Called with the history that any answer of the store tells; 0 if it tells none.
    void onHistory(std::uint64_t history, GatewayContext &context);
    /// Calls the store at once, for example after a pause in which the known state may have become
    /// outdated.
    void refresh(GatewayContext &context);
    Instant nextTimer() const;

    /// Returns the routes of the configuration in force, or null before the first one is known.
    const std::shared_ptr<const RouteTable> &routes() const { return this->routeTable; }
    /// Returns whether the configuration and the targets are known.
    bool isReady() const { return this->routeTable != nullptr && this->targetsKnown; }
    const std::map<std::string, MemberRecord> &members() const { return this->memberTable; }
    /// Increases whenever a member is added, changed or removed.
    std::uint64_t memberRevision() const { return this->memberChanges; }
    /// Returns the peer addresses of the members to which this instance relays what comes from the
    /// given origin.
    std::vector<std::string> relayReceivers(const InstanceId &origin) const;
    /// Returns the peer addresses of the seeds, which may be outdated.
    const std::vector<std::string> &seedAddresses() const { return this->seeds; }
    /// Returns the peer addresses of all members except this instance.
    std::vector<std::string> otherMembers() const;
    /// Returns the version of the configuration in force, or 0 before the first one is known.
    std::uint64_t configVersion() const;
    /// Returns the newest history of the store that this instance has heard of.
    std::uint64_t history() const { return this->knownHistory; }
    const StoreHealth &storeHealth() const { return this->health; }
    /// Returns the quarantines that were read from the store since the last call.
    std::vector<QuarantineRecord> takeQuarantines() { return std::exchange(this->quarantines, {}); }
    /// Returns true if this instance has read the store itself, and the store was never restored
    /// from a copy, so that its configuration is the newest one.
    bool hasReadOriginalStore() const { return this->hasReadStore && this->knownHistory <= 1; }
    /// Returns when the known state was last confirmed by the store or by a member that had read
    /// the store.
    Instant lastConfirmedAt() const { return this->confirmedAt; }

private:
    /// A call to the store that has no answer yet.
    struct RunningCall
    {
        StoreOpId operation;
        /// The history that was known when the call was made.
        std::uint64_t history = 0;
        /// Whether the call reads a page of the full read.
        bool readsPage = false;
        /// The key after which the page begins.
        std::string afterKey;
        /// How long a watch lets the store wait for a change.
        Duration wait {};
    };

    /// A read of all keys, page by page.
    struct FullRead
    {
        /// The position at which the first page was read. The pages are not a snapshot.
        StorePosition begin;
        std::string lastKey;
        std::unordered_set<std::string> listedKeys;
    };

    /// Where a change comes from.
    enum class ChangeSource {
        Listing, ///< The state as a whole: what a restored store lists may be older than known.
        Written, ///< A single write or removal.
    };

    void callStore(GatewayContext &context);
    void onDone(const RunningCall &call, const StoreAnswer &answer, GatewayContext &context);
    void onPage(const StoreAnswer &answer, GatewayContext &context);
    void onChanges(const StoreAnswer &answer, GatewayContext &context);
    /// Drops the running call and reads everything again if the history is new. Returns whether it
    /// is.
    bool noticeHistory(std::uint64_t history, GatewayContext &context);
    void learnAnswerTime(const RunningCall &call, const StoreAnswer &answer);
    void onFailure(StoreCallStatus status, GatewayContext &context);
    void startFullRead();
    void applyNewer(const std::vector<StoreChange> &changes, GatewayContext &context);
    void apply(const StoreChange &change, ChangeSource source, GatewayContext &context);
    void applyConfig(const StoreChange &change, GatewayContext &context);
    void applyTarget(const StoreChange &change, ChangeSource source, GatewayContext &context);
    void applyMember(const StoreChange &change);
    void removeUnlisted(const std::unordered_set<std::string> &listedKeys, GatewayContext &context);
    /// Uses the held back targets that the restored store still lists.
    void useReleasedTargets(GatewayContext &context);
    void markMissing(const TargetId &target, GatewayContext &context);
    void dropMissingTargets(GatewayContext &context);
    void finishFullRead(GatewayContext &context);

    // Exchange with the other members.

    /// Returns the changes in a store answer that are more than heartbeats. Must be called before
    /// the answer is applied, because it compares with the known state.
    std::shared_ptr<StoreUpdate> makeUpdate(const StoreAnswer &answer, Instant now) const;
    void sendToMembers(const std::shared_ptr<StoreUpdate> &update, GatewayContext &context);
    /// Sends another member's update on to this instance's children in the relay tree.
    void relay(const StoreUpdate &update, GatewayContext &context);
    void applyFullState(const StoreUpdate &update, GatewayContext &context);
    /// Requests from the sender of an update what was missed before it. Waiting for the next call
    /// to the store would take seconds.
    void requestMissedChanges(const StoreUpdateReceived &event, GatewayContext &context);
    /// Requests the state from a member that has a newer configuration in force than this instance
    /// although both know the same of the store.
    void requestNewerConfig(const StoreUpdateReceived &event, GatewayContext &context);
    /// Adds to a request for the state what this instance knows, so that only the differences need
    /// to be sent.
    void describeState(StoreUpdate &request) const;
    void answerStateRequest(const StoreUpdateReceived &event, GatewayContext &context);
    /// Requests the whole state from a member or a seed while the store can't be reached.
    void requestState(GatewayContext &context);
    /// Returns whether a change differs from the known state in more than a heartbeat, or from what
    /// a member at this instance's position may know.
    bool isStateChange(const StoreChange &change, Instant now) const;
    /// Returns a hash over all keys and their contents, without heartbeats.
    std::uint64_t digest() const;
    /// Returns a hash of the evacuated failure domains, which are not in the other digest because
    /// members of an older version don't keep them.
    std::uint64_t evacuationDigest() const;
    /// Reads the whole store again when a member has a different state at the same revision.
    void checkDigest(const StoreUpdateReceived &event, GatewayContext &context);
    /// Returns the position of this instance among the members ordered by name, from 0.
    std::ptrdiff_t rank() const;
    /// Returns how long a watch call lets the store wait for a change.
    Duration watchWait() const;
    /// Returns how long after the last update this instance calls the store itself.
    Duration takeoverDelay() const;

    TargetRegistry &targets;
    InstanceId self;
    std::string ownAddress;
    /// The longest time between two watch calls.
    Duration pollInterval;
    Duration rankDelay;
    /// Peer addresses of the seeds, which may be stale.
    std::vector<std::string> seeds;
    /// The known content of the store by key, also sent to members that can't reach the store.
    std::map<std::string, StoreChange> knownState;
    Instant stateRequestAt = Instant::max();
    std::shared_ptr<const RouteTable> routeTable;
    std::map<std::string, MemberRecord> memberTable;
    std::uint64_t memberChanges = 0;
    StoreHealth health;
    StoreAnswerTime answerTime;
    /// True after a call got no answer on a connection kept from an earlier call, until the next
    /// answer.
    bool unansweredOnKeptConnection = false;
    std::optional<RunningCall> call;
    Instant nextCallAt {};
    std::optional<FullRead> fullRead = FullRead();
    bool targetsKnown = false;
    bool hasReadStore = false;
    /// The newest history of the store that this instance has heard of.
    std::uint64_t knownHistory = 0;
    /// The position up to which all changes are known.
    StorePosition position;
    /// The change that brought the configuration in force. After a restore the store may list an
    /// older one.
    StoreChange configInForce;
    Instant configRequestAt {};
    /// Whether an update showed that changes before it were missed, and when they may be requested
    /// again.
    bool hasMissedChanges = false;
    Instant missedRequestAt {};
    std::vector<QuarantineRecord> quarantines;
    WithdrawnTargets withdrawnTargets;
    /// Targets whose entry is missing in the store, and when they are dropped.
    std::map<TargetId, Instant> missingTargets;
    /// Targets whose keys are missing are not dropped before this time, because the keys may come
    /// back.
    Instant removalGraceUntil {};
    Instant confirmedAt {};
    Instant digestMismatchAt {};
    /// The position up to which updates were relayed, and when.
    StorePosition relayedPosition;
    Instant relayedAt {};
};

} // namespace lagoondeck
