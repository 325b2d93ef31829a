#pragma once

#include "bench/entry_pool.h"
#include "core/time.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lagoondeck {

/// Simulates the platform's load balancer: distributes queries round-robin over the ready entry
/// instances, which come from the instance list or a fixed list of addresses.
class Balancer
{
public:
    /// Uses the given addresses when instanceListAddress is empty.
    Balancer(std::vector<std::string> addresses, std::string instanceListAddress,
             std::uint32_t connectionsPerInstance);
    ~Balancer();
    Balancer(const Balancer &) = delete;
    Balancer &operator=(const Balancer &) = delete;

    /// Returns whether any instance has been ready so far.
    bool hasReady();
    /// Sends a query. Tries another instance only when a connection was refused, so that no query
    /// is sent twice. The timeout applies to each attempt.
    SendResult send(const std::string &path, const std::string &body, Duration timeout);

private:
    void watchInstances();
    void refresh();
    std::vector<std::string> readInstanceList() const;
    /// Reserves a connection and returns its pool; null when none became free before the timeout.
    std::shared_ptr<EntryPool> reservePool(Duration timeout);

    std::vector<std::string> addresses;
    std::string instanceListAddress;
    std::uint32_t connectionsPerInstance;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<EntryPool>> pools;
    std::vector<std::shared_ptr<EntryPool>> readyPools;
    std::atomic<std::uint64_t> nextPool = 0;
    std::atomic<bool> stopping = false;
    std::uint64_t failedRefreshes = 0;
    std::thread watcher;
};

} // namespace lagoondeck
