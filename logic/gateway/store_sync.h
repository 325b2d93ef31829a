#pragma once

#include "core/gateway_settings.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"
#include "logic/gateway/route_table.h"
#include "logic/gateway/store_answer_time.h"
#include "logic/gateway/store_health.h"
#include "logic/gateway/target_registry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
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
class StoreSync
{
public:
    StoreSync(const GatewaySettings &settings, TargetRegistry &targets);

    void start(GatewayContext &context);
    void onAnswer(const StoreAnswered &event, GatewayContext &context);
    void onUpdate(const StoreUpdateReceived &event, GatewayContext &context);
    void onTimer(GatewayContext &context);
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
    /// Returns the peer addresses of all members except this instance.
    std::vector<std::string> otherMembers() const;
    /// Returns the newest history of the store that this instance has heard of.
    std::uint64_t history() const { return this->knownHistory; }
    const StoreHealth &storeHealth() const { return this->health; }
    /// Returns when the known state was last confirmed by the store or by a member that had read
    /// the store.
    Instant lastConfirmedAt() const { return this->confirmedAt; }

private:
    void callStore(GatewayContext &context);
    void onPage(const StoreAnswer &answer, GatewayContext &context);
    void onChanges(const StoreAnswer &answer, GatewayContext &context);
    void noticeHistory(std::uint64_t history, GatewayContext &context);
    void learnAnswerTime(const StoreAnswer &answer);
    void onFailure(StoreCallStatus status, GatewayContext &context);
    void startFullRead();
    void applyNewer(const std::vector<StoreChange> &changes, GatewayContext &context);
    void apply(const StoreChange &change, GatewayContext &context);
    void applyConfig(const StoreChange &change, GatewayContext &context);
    void applyTarget(const StoreChange &change, GatewayContext &context);
    void applyMember(const StoreChange &change);
    void removeUnlisted(GatewayContext &context);
    void markMissing(const TargetId &target, GatewayContext &context);
    void dropMissingTargets(GatewayContext &context);
    void finishFullRead(GatewayContext &context);

    // Exchange with the other members.

    /// Returns the changes in a store answer that are more than heartbeats. Must be called before
    /// the answer is applied, because it compares with the known state.
    std::shared_ptr<StoreUpdate> makeUpdate(const StoreAnswer &answer) const;
    void sendToMembers(const std::shared_ptr<StoreUpdate> &update, GatewayContext &context);
    /// Sends another member's update on to this instance's children in the relay tree.
    void relay(const StoreUpdate &update, GatewayContext &context);
    void applyFullState(const StoreUpdate &update, GatewayContext &context);
    void answerStateRequest(const StoreUpdateReceived &event, GatewayContext &context);
    /// Requests the whole state from a member or a seed while the store can't be reached.
    void requestState(GatewayContext &context);
    /// Returns whether a change differs from the known state in more than a heartbeat.
    bool isStateChange(const StoreChange &change) const;
    /// Returns a hash over all keys and their contents, without heartbeats.
    std::uint64_t digest() const;
    /// Reads the whole store again when a member has a different state at the same revision.
    void checkDigest(const StoreUpdate &update, GatewayContext &context);
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
    /// How long the running watch call lets the store wait for a change.
    Duration calledWait {};
    /// True after a call got no answer on a connection kept from an earlier call, until the next
    /// answer.
    bool unansweredOnKeptConnection = false;
    std::optional<StoreOpId> operation;
    Instant nextCallAt {};
    bool fullReadRunning = true;
    bool targetsKnown = false;
    std::string lastReadKey;
    /// The newest history of the store that this instance has heard of.
    std::uint64_t knownHistory = 0;
    /// The revision at which the full read began, or up to which all changes are known.
    std::uint64_t revision = 0;
    /// The keys that the running full read has returned so far.
    std::unordered_set<std::string> listedKeys;
    /// Targets whose entry is missing in the store, and when they are dropped.
    std::map<TargetId, Instant> missingTargets;
    /// Targets whose keys are missing are not dropped before this time, because the keys may come
    /// back.
    Instant removalGraceUntil {};
    Instant confirmedAt {};
    Instant digestMismatchAt {};
    /// The revision up to which updates were relayed, and when.
    std::uint64_t relayedRevision = 0;
    Instant relayedAt {};
};

} // namespace lagoondeck
