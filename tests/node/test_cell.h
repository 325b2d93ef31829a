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

/// Stand-ins and entry instances in this process, on free ports of the loopback address.
class TestCell
{
public:
    explicit TestCell(std::size_t nodeCount);
    ~TestCell();
    TestCell(const TestCell &) = delete;
    TestCell &operator=(const TestCell &) = delete;

    /// Puts one entry "fit-check" of the service "fit" in force and waits until all nodes are
    /// ready.
    bool becomeReady();
    /// Sends one query. Empty when no whole reply came.
    nlohmann::json query(std::size_t node, const std::string &requestId) const;
    /// What the platform's balancer asks before it sends callers to a node.
    bool takesCallers(std::size_t node) const;
    /// Changes the stand-in targets as docs/STANDINS.md says.
    void controlTargets(const nlohmann::json &command) const;
    nlohmann::json status(std::size_t node) const;
    /// Stops a node gracefully and waits for its end.
    void stop(std::size_t node);

private:
    struct Node
    {
        std::unique_ptr<EntryNode> entry;
        std::string httpAddress;
        std::atomic<bool> stopAsked {false};
        std::thread thread;
    };

    EventLoop loop;
    TargetFleet fleet;
    StoreService store;
    std::unique_ptr<InstanceService> instances;
    std::thread standins;
    std::vector<std::unique_ptr<Node>> nodes;
};

} // namespace lagoondeck
