#pragma once

#include "core/time.h"
#include "standins/event_loop.h"
#include "standins/http_server.h"
#include "standins/store_state.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace lagoondeck {

/// The faults of the key-value stand-in.
struct StoreFaults
{
    /// Delay of every reply; the call takes effect before it.
    Duration delay {};
    /// Fraction of the transactions that take effect but get no reply.
    double lostReplies = 0.0;
    /// Calls per second; further ones are refused and have no effect.
    std::uint32_t readsPerSecond = 2000;
    std::uint32_t writesPerSecond = 500;
};

/// Calls by kind since the last reset.
struct StoreCalls
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t leases = 0;
    std::uint64_t watchesOpened = 0;
    /// Each open watch counts as one call per second.
    std::uint64_t watchSeconds = 0;
    std::uint64_t refused = 0;
    std::uint64_t repliesLost = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(StoreCalls, reads, writes, leases, watchesOpened, watchSeconds,
                                   refused, repliesLost)
};

/// Stand-in for the platform's key-value service: a subset of etcd v3's JSON gateway on one port,
/// and the control of its faults and counts on another:
/// `POST /v1/control`, `GET /v1/counts`, `POST /v1/reset`.
class StoreService
{
public:
    StoreService(EventLoop &loop, std::string address, std::string controlAddress);

    void start();
    const std::string &boundAddress() const { return this->server.boundAddress(); }
    const std::string &controlAddress() const { return this->control.boundAddress(); }

private:
    struct Watch
    {
        std::string first;
        std::string end;
        std::uint64_t nextRevision = 0;
    };

    void onRequest(HttpConnection &connection, const ReceivedRequest &message);
    void onCall(HttpConnection &connection, const std::string &path, const nlohmann::json &request);
    void onControl(HttpConnection &connection, const ReceivedRequest &message);
    void setOutage(bool outage);
    void transact(HttpConnection &connection, const nlohmann::json &request);
    nlohmann::json grantLease(const nlohmann::json &request);
    nlohmann::json renewLease(const nlohmann::json &request);
    void scheduleLeaseEnd(std::int64_t lease, Duration timeToLive);
    void openWatch(HttpConnection &connection, const nlohmann::json &request);
    void sendWatchEvents();
    void sendWatchEvents(HttpConnection &connection, Watch &watch);
    /// Counts a call against its cap. Returns false if the call is to be refused.
    bool admitCall(std::uint32_t &used, std::uint32_t cap);
    void reply(HttpConnection &connection, const nlohmann::json &body);
    void startNextSecond();

    EventLoop &loop;
    StoreState state;
    StoreFaults faults;
    StoreCalls calls;
    std::uint32_t readsThisSecond = 0;
    std::uint32_t writesThisSecond = 0;
    std::map<std::uint64_t, Watch> watches;
    std::map<std::int64_t, std::pair<Duration, EventLoop::TimerId>> leases;
    std::mt19937_64 random;
    HttpServer server;
    HttpServer control;
};

} // namespace lagoondeck
