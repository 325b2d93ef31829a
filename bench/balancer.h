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

/// Stands for the platform's balancer: spreads queries in turn over the entry instances that are
/// live in the instance list, or given by hand, and say they are ready.
class Balancer
{
public:
    /// With an empty instanceListAddress the given addresses are the instances.
    Balancer(std::vector<std::string> addresses, std::string instanceListAddress,
             std::uint32_t connectionsPerInstance);
    ~Balancer();
    Balancer(const Balancer &) = delete;
    Balancer &operator=(const Balancer &) = delete;

    /// Says whether any instance was ready so far.
    bool hasReady();
    /// Sends a query; goes to another instance only when a connection was refused, so that nothing
    /// is sent twice. The timeout holds for one try.
    SendTry send(const std::string &path, const std::string &body, Duration timeout);

private:
    void watchInstances();
    void refresh();
    std::vector<std::string> readInstanceList() const;
    /// A pool with a reserved connection; null when none came free in time.
    std::shared_ptr<EntryPool> choose(Duration patience);

    std::vector<std::string> addresses;
    std::string instanceListAddress;
    std::uint32_t connectionsPerInstance;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<EntryPool>> known;
    std::vector<std::shared_ptr<EntryPool>> ready;
    std::atomic<std::uint64_t> turn = 0;
    std::atomic<bool> stopping = false;
    std::thread watcher;
};

} // namespace lagoondeck
