#pragma once

#include "core/catalogue_change.h"
#include "tests/support/event_schedule.h"
#include "tests/support/fake_network.h"
#include "tests/support/fake_node.h"
#include "tests/support/fake_store.h"
#include "tests/support/simulation_random.h"
#include "tests/support/simulation_record.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoondeck {

/// A deterministic in-memory simulation of a cell: entry instances with complete reducers, targets,
/// the key-value store, the instance list and callers. The same seed reproduces the same run.
class SimulatedCell
{
public:
    explicit SimulatedCell(std::uint64_t seed);
    ~SimulatedCell();

    /// Runs the simulation, with callers and faults, for some simulated time.
    void runFor(Duration duration);
    /// Stops the callers, waits until injected faults are undone and open requests have ended,
    /// stops all instances and runs the final checks.
    void finish();

    const std::vector<std::string> &violations() const { return this->record.violations(); }
    const SimulationCounts &counts() const { return this->record.counts; }

    // Used to inject faults.

    FakeNode &startNode();
    void crashNode(FakeNode &node);
    void stopNode(FakeNode &node);
    /// Returns the instances that run and are not stopping.
    std::vector<FakeNode *> servingNodes() const;
    FakeTarget &addFitTarget(std::uint32_t shard);
    /// Returns the targets of the service "fit", whose index versions change, without removed ones.
    std::vector<FakeTarget *> fitTargets() const;
    void removeTarget(FakeTarget &target);
    /// Publishes a new index version with the given number of shards. Each target adopts it and
    /// drops the old one at a random time.
    void publishVersion(std::uint32_t shards);
    void changeCatalogue();
    /// Updates the instance list that the instances read after a random delay.
    void scheduleListUpdate();

    EventSchedule schedule;
    SimulationRandom random;
    SimulationRecord record;
    FakeNetwork network;
    bool storeDown = false;
    double storeReplyLossProbability = 0.0;
    double peerLossProbability = 0.0;
    double loadFactor = 1.0;
    /// If true, callers sometimes repeat a request that must run at most once, with the same id.
    bool resendsAtMostOnceRequests = true;

private:
    void deliver(std::uint64_t node, EventBody body);
    void executeEffect(FakeNode &node, const Effect &effect);
    void executeStoreOperation(FakeNode &node, const StoreOperation &effect);
    void pollWatch(FakeNode &node, StoreOpId operation, std::uint64_t from);
    void checkTargetNotLeaving(const FakeNode &node, const SendSubRequest &send);
    void sendPeerMessage(const SendPeerMessage &effect);
    void pollInstances(std::uint64_t node);
    InstanceList currentList() const;
    void scheduleRequest();
    void sendRequest(FakeNode &node, CallerRequest request, std::uint32_t resends);
    CallerRequest newRequest();
    void adoptVersion(FakeTarget &target);
    void collectNodeViolations();

    std::vector<std::unique_ptr<FakeNode>> nodes;
    std::uint64_t lastTarget = 0;
    std::uint64_t lastRequest = 0;
    FakeStore store;
    std::uint64_t lastRevision = 0;
    std::vector<CatalogueEntry> entries;
    InstanceList visibleList;
    std::map<TargetId, bool> removedTargets;
    SnapshotVersion version;
    std::uint32_t shardCount = 0;
    bool isSendingRequests = true;
};

} // namespace lagoondeck
