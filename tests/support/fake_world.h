#pragma once

#include "core/catalogue_change.h"
#include "tests/support/event_schedule.h"
#include "tests/support/fake_network.h"
#include "tests/support/fake_node.h"
#include "tests/support/fake_store.h"
#include "tests/support/world_random.h"
#include "tests/support/world_record.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoondeck {

/// A small world in memory: entry instances with their whole reducers, targets, the key-value
/// service, the instance list and callers. One seed makes one run.
class FakeWorld
{
public:
    explicit FakeWorld(std::uint64_t seed);
    ~FakeWorld();

    /// Lets callers ask and faults happen for some made-up time.
    void runFor(Duration duration);
    /// Heals everything, lets all requests end, stops the nodes and checks what holds at the end.
    void finish();

    const std::vector<std::string> &violations() const { return this->record.violations(); }
    const WorldCounts &counts() const { return this->record.counts; }

    // What the faults work on.

    FakeNode &startNode();
    void crashNode(FakeNode &node);
    void stopNode(FakeNode &node);
    /// The nodes that live and are not stopping.
    std::vector<FakeNode *> servingNodes() const;
    FakeTarget &addFitTarget(std::uint32_t shard);
    /// The targets of the service whose index changes, without those that are gone.
    std::vector<FakeTarget *> fitTargets() const;
    void removeTarget(FakeTarget &target);
    /// A new index version with so many shards; the targets take it and drop the old one in turn.
    void makeVersion(std::uint32_t shards);
    void changeCatalogue();
    /// The instance list tells of changes after a while.
    void listChanged();

    EventSchedule schedule;
    WorldRandom random;
    WorldRecord record;
    FakeNetwork network;
    bool storeDown = false;
    double storeRepliesLost = 0.0;
    double peerMessagesLost = 0.0;
    double loadFactor = 1.0;
    /// Callers send requests that must run at most once again, with the same id.
    bool resending = true;

private:
    void deliver(std::uint64_t node, EventBody body);
    void carry(FakeNode &node, const Effect &effect);
    void carryStore(FakeNode &node, const StoreOperation &effect);
    void carryWatch(FakeNode &node, StoreOpId operation, std::uint64_t from);
    void checkLeaving(const FakeNode &node, const SendSubRequest &send);
    void carryPeer(const SendPeerMessage &effect);
    void pollInstances(std::uint64_t node);
    InstanceList currentList() const;
    void scheduleRequest();
    void ask(FakeNode &node, CallerRequest request, std::uint32_t resends);
    CallerRequest newRequest();
    void adopt(FakeTarget &target);
    void noteViolations();

    std::vector<std::unique_ptr<FakeNode>> nodes;
    std::uint64_t lastTarget = 0;
    std::uint64_t lastRequest = 0;
    FakeStore store;
    std::uint64_t lastRevision = 0;
    std::vector<CatalogueEntry> entries;
    InstanceList visible;
    std::map<TargetId, bool> gone;
    SnapshotVersion version;
    std::uint32_t shardCount = 0;
    bool asking = true;
};

} // namespace lagoondeck
