#pragma once

#include "standins/event_loop.h"
#include "standins/http_server.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace lagoondeck {

/// Stand-in for the store of the users' platform, with items that have revisions and leases, paged
/// reads, long-poll watches and transactions. It can refuse all calls, discard its history or be
/// restored from a copy of itself.
class PlatformStore
{
public:
    PlatformStore(EventLoop &loop, std::string address);

    void start() { this->server.listen(); }
    const std::string &boundAddress() const { return this->server.boundAddress(); }

    // Writes of the operator and the targets. Call them before the loop runs or from within it.

    void put(const std::string &key, const std::string &value, std::uint64_t lease = 0);
    void remove(const std::string &key);
    /// Discards the history; a watch from an older revision gets status 410.
    void forgetHistory() { this->oldestRevision = this->revision; }
    /// Refuses all calls with the given status; 0 serves them again.
    void refuseWith(int status) { this->refusal = status; }

    /// Silences all open connections. New ones work.
    void silenceOpenConnections() { this->server.silenceOpenConnections(); }

    std::uint64_t calls() const { return this->callCount; }
    std::size_t countKeysWithPrefix(const std::string &prefix) const;

private:
    struct Item;
    struct Change;

public:
    /// What a restored store still knows.
    struct Copy
    {
        std::map<std::string, Item> items;
        std::vector<Change> history;
        std::uint64_t revision = 0;
        std::uint64_t lastLease = 0;
        std::set<std::uint64_t> leases;
    };

    Copy copy() const;
    /// Goes back to an earlier state and begins the next era. Revisions and leases are given out
    /// again.
    void restore(const Copy &copy);

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Change
    {
        std::string key;
        std::uint64_t revision = 0;
        bool removed = false;
        Item item;
    };

    void onRequest(HttpConnection &connection, const ReceivedRequest &request);
    void reply(HttpConnection &connection, int status, const nlohmann::json &body);
    std::uint64_t grantLease(std::uint64_t lease, Duration timeToLive);
    void onRead(HttpConnection &connection, const std::map<std::string, std::string> &query);
    void onWatch(HttpConnection &connection, const std::map<std::string, std::string> &query);
    void onTransaction(HttpConnection &connection, const nlohmann::json &body);
    void answerWatch(std::uint64_t connection, const std::string &prefix, std::uint64_t after);
    void endLease(std::uint64_t lease);
    nlohmann::json describe(const std::string &key, const Item &item) const;

    EventLoop &loop;
    std::map<std::string, Item> items;
    std::vector<Change> history;
    std::uint64_t revision = 1;
    std::uint64_t oldestRevision = 0;
    std::uint64_t era = 1;
    std::uint64_t lastLease = 0;
    std::map<std::uint64_t, EventLoop::TimerId> leases;
    int refusal = 0;
    std::uint64_t callCount = 0;
    HttpServer server;
};

} // namespace lagoondeck
