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

/// What a key-value stand-in does wrong.
struct StoreFaults
{
    /// Every reply waits this long, after its effect.
    Duration delay {};
    /// This part of the transactions takes effect and gets no reply.
    double lostReplies = 0.0;
    /// Calls a second; further ones are refused without effect.
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
    /// Each open watch counts as one call a second.
    std::uint64_t watchSeconds = 0;
    std::uint64_t refused = 0;
    std::uint64_t repliesLost = 0;

    NLOHMANN_DEFINE_TYPE_INTRUSIVE(StoreCalls, reads, writes, leases, watchesOpened, watchSeconds,
                                   refused, repliesLost)
};

/// The platform's key-value service as a stand-in: a subset of etcd v3's JSON gateway on one port,
/// its faults and counts on another. `POST /v1/control`, `GET /v1/counts`, `POST /v1/reset`.
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
    nlohmann::json keepLease(const nlohmann::json &request);
    void endLeaseAfter(std::int64_t lease, Duration timeToLive);
    void openWatch(HttpConnection &connection, const nlohmann::json &request);
    void sendNews();
    void sendNews(HttpConnection &connection, Watch &watch);
    /// Counts a call against its cap; false when the call is refused.
    bool takeCall(std::uint32_t &used, std::uint32_t cap);
    void reply(HttpConnection &connection, const nlohmann::json &body);
    void everySecond();

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
