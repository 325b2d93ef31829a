#pragma once

#include "core/settings.h"
#include "standins/event_loop.h"
#include "standins/instance_service.h"
#include "standins/store_service.h"
#include "standins/target_fleet.h"

#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace lagoondeck {

class EntryNode;

/// Runs stand-ins and entry instances in this process, on free ports of the loopback address.
class TestCell
{
public:
    explicit TestCell(std::size_t nodeCount);
    ~TestCell();
    TestCell(const TestCell &) = delete;
    TestCell &operator=(const TestCell &) = delete;

    /// Creates the catalogue entry "fit-check" of the service "fit" and waits until all
    /// entry instances answer queries.
    bool waitUntilReady();
    /// Sends one query. Returns a discarded JSON value when no complete reply arrived.
    nlohmann::json query(std::size_t node, const std::string &requestId) const;
    /// Returns the readiness that the platform's load balancer checks before it routes callers to
    /// an entry instance.
    bool isReady(std::size_t node) const;
    /// Sends a control command to the stand-in targets, as docs/STANDINS.md describes.
    void controlTargets(const nlohmann::json &command) const;
    nlohmann::json status(std::size_t node) const;
    /// Stops an entry instance gracefully and waits until its thread has ended.
    void stop(std::size_t node);

private:
    struct Node
    {
        std::unique_ptr<EntryNode> entry;
        std::string httpAddress;
        std::atomic<bool> stopRequested {false};
        std::thread thread;
    };

    EventLoop loop;
    TargetFleet fleet;
    StoreService store;
    std::unique_ptr<InstanceService> instances;
    std::thread standinThread;
    std::vector<std::unique_ptr<Node>> nodes;
};

} // namespace lagoondeck
