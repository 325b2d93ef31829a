#include "bench/balancer.h"

#include "bench/http_call.h"
#include "core/instance_list_codec.h"

#include <boost/leaf/handle_errors.hpp>
#include <exception>
#include <iostream>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr Duration refreshInterval = std::chrono::milliseconds(200);
constexpr Duration probeTimeout = std::chrono::milliseconds(400);
constexpr Duration reserveRetryInterval = std::chrono::milliseconds(1);
constexpr int maxTries = 8;

bool isReady(const std::string &address)
{
    return leaf::try_handle_all(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(callHttp(address, "GET", "/v1/ready", "", probeTimeout));
                return true;
            },
            [] { return false; });
}

} // namespace

Balancer::Balancer(std::vector<std::string> addresses, std::string instanceListAddress,
                   std::uint32_t connectionsPerInstance)
    : addresses(std::move(addresses)), instanceListAddress(std::move(instanceListAddress)),
      connectionsPerInstance(connectionsPerInstance)
{
    this->refresh();
    this->watcher = std::thread([this] { this->watchInstances(); });
}

Balancer::~Balancer()
{
    this->stopping = true;
    this->watcher.join();
}

bool Balancer::hasReady()
{
    const std::scoped_lock lock(this->mutex);
    return !this->readyPools.empty();
}

SendResult Balancer::send(const std::string &path, const std::string &body, Duration timeout)
{
    SendResult result;
    for (int tries = 0; tries < maxTries; ++tries) {
        const std::shared_ptr<EntryPool> pool = this->reservePool(timeout);
        if (!pool) {
            result.problem = "no-connection";
            return result;
        }
        result = pool->send(path, body, timeout);
        if (result.outcome != SendOutcome::Refused) {
            return result;
        }
    }
    return result;
}

std::shared_ptr<EntryPool> Balancer::reservePool(Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        std::vector<std::shared_ptr<EntryPool>> candidates;
        {
            const std::scoped_lock lock(this->mutex);
            candidates = this->readyPools;
        }
        const std::uint64_t first = this->nextPool++;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const auto &pool = candidates[(first + i) % candidates.size()];
            if (pool->tryReserve()) {
                return pool;
            }
        }
        std::this_thread::sleep_for(reserveRetryInterval);
    }
    return nullptr;
}

void Balancer::watchInstances()
{
    while (!this->stopping) {
        std::this_thread::sleep_for(refreshInterval);
        try {
            this->refresh();
        } catch (const std::exception &error) {
            // The instances of the last refresh stay in use.
            std::cerr << "load: " << ++this->failedRefreshes
                      << " failed refreshes of the instances, the last one: " << error.what()
                      << "\n";
        }
    }
}

void Balancer::refresh()
{
    if (!this->instanceListAddress.empty()) {
        this->addresses = this->readInstanceList();
    }
    std::vector<std::shared_ptr<EntryPool>> readyNow;
    for (const std::string &address : this->addresses) {
        if (isReady(address)) {
            auto &pool = this->pools[address];
            pool = pool ? pool : std::make_shared<EntryPool>(address, this->connectionsPerInstance);
            readyNow.push_back(pool);
        }
    }
    const std::scoped_lock lock(this->mutex);
    // When no instance is ready, the previous ones are kept, as the platform's balancer does.
    if (!readyNow.empty()) {
        this->readyPools = std::move(readyNow);
    }
}

std::vector<std::string> Balancer::readInstanceList() const
{
    return leaf::try_handle_all(
            [&]() -> leaf::result<std::vector<std::string>> {
                BOOST_LEAF_AUTO(text,
                                callHttp(this->instanceListAddress, "GET", "/v1/instances", "",
                                         probeTimeout));
                BOOST_LEAF_AUTO(list, parseInstanceList(text));
                std::vector<std::string> live;
                for (const EntryInstance &entry : list.entries) {
                    if (entry.state == InstanceState::Live) {
                        live.push_back(entry.httpAddress);
                    }
                }
                return live;
            },
            [this] { return this->addresses; });
}

} // namespace lagoondeck
