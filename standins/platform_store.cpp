#include "standins/platform_store.h"

#include "standins/base64.h"

#include <Poco/URI.h>
#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

constexpr std::size_t maxPageItems = 500;
constexpr Duration watchPollInterval = std::chrono::milliseconds(10);
/// Leases of a copy last this long after it was restored.
constexpr Duration restoredLeaseTime = std::chrono::seconds(10);
constexpr std::string_view pathPrefix = "/lagoondeck/";

std::map<std::string, std::string> queryParameters(const ReceivedRequest &request)
{
    std::map<std::string, std::string> query;
    for (auto &[name, value] : Poco::URI(request.head.getURI()).getQueryParameters()) {
        query[name] = value;
    }
    return query;
}

std::uint64_t number(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() || found->second.empty() ? 0 : std::stoull(found->second);
}

} // namespace

PlatformStore::PlatformStore(EventLoop &loop, std::string address)
    : loop(loop), server(loop, std::move(address),
                         {[this](HttpConnection &connection, const ReceivedRequest &request) {
                              this->onRequest(connection, request);
                          },
                          {},
                          {}})
{ }

void PlatformStore::put(const std::string &key, const std::string &value, std::uint64_t lease)
{
    Item &item = this->items[key];
    item.value = value;
    item.revision = ++this->revision;
    item.created = item.created == 0 ? item.revision : item.created;
    item.lease = lease;
    this->history.push_back({key, item.revision, false, item});
}

void PlatformStore::remove(const std::string &key)
{
    if (this->items.erase(key) > 0) {
        this->history.push_back({key, ++this->revision, true, {}});
    }
}

std::size_t PlatformStore::countKeysWithPrefix(const std::string &prefix) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            this->items, [&](const auto &item) { return item.first.starts_with(prefix); }));
}

PlatformStore::Copy PlatformStore::copy() const
{
    Copy copy {this->items, this->history, this->revision, this->lastLease, {}};
    for (const auto &[lease, timer] : this->leases) {
        copy.leases.insert(lease);
    }
    return copy;
}

void PlatformStore::restore(const Copy &copy)
{
    ++this->era;
    this->items = copy.items;
    this->history = copy.history;
    this->revision = copy.revision;
    this->lastLease = copy.lastLease;
    for (const auto &[lease, timer] : this->leases) {
        this->loop.cancel(timer);
    }
    this->leases.clear();
    for (const std::uint64_t lease : copy.leases) {
        this->grantLease(lease, restoredLeaseTime);
    }
}

std::uint64_t PlatformStore::grantLease(std::uint64_t lease, Duration timeToLive)
{
    this->leases[lease] = this->loop.after(timeToLive, [this, lease] { this->endLease(lease); });
    return lease;
}

void PlatformStore::reply(HttpConnection &connection, int status, const nlohmann::json &body)
{
    connection.reply(status, {{"Store-Era", std::to_string(this->era)}},
                     body.is_null() ? "{}" : body.dump());
}

nlohmann::json PlatformStore::describe(const std::string &key, const Item &item) const
{
    return {{"key", key},
            {"value", encodeBase64(item.value)},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
}

void PlatformStore::onRequest(HttpConnection &connection, const ReceivedRequest &request)
{
    ++this->callCount;
    if (this->refusal != 0) {
        this->reply(connection, this->refusal, {});
        return;
    }
    const std::string path = request.path();
    const std::string call = path.starts_with(pathPrefix) ? path.substr(pathPrefix.size()) : "";
    if (call == "kv-range") {
        this->onRead(connection, queryParameters(request));
    } else if (call == "kv-watch") {
        this->onWatch(connection, queryParameters(request));
    } else if (call == "kv-txn") {
        this->onTransaction(connection, nlohmann::json::parse(request.body));
    } else if (call == "kv-lease") {
        const auto ttl = nlohmann::json::parse(request.body).at("ttl_ms").get<std::int64_t>();
        const std::uint64_t lease =
                this->grantLease(++this->lastLease, std::chrono::milliseconds(ttl));
        this->reply(connection, 200, {{"lease", lease}, {"ttl_ms", ttl}});
    } else if (call.starts_with("kv-keep/") || call.starts_with("kv-lease-end/")) {
        const std::uint64_t lease = std::stoull(call.substr(call.find('/') + 1));
        const bool known = this->leases.contains(lease);
        if (known && call.starts_with("kv-lease-end/")) {
            this->endLease(lease);
        }
        this->reply(connection, known ? 200 : 404, {});
    } else {
        this->reply(connection, 404, {});
    }
}

void PlatformStore::onRead(HttpConnection &connection,
                           const std::map<std::string, std::string> &query)
{
    const auto prefix = query.contains("prefix") ? query.at("prefix") : "";
    const auto after = query.contains("after") ? query.at("after") : "";
    nlohmann::json list = nlohmann::json::array();
    bool more = false;
    for (const auto &[key, item] : this->items) {
        if (!key.starts_with(prefix) || key <= after) {
            continue;
        }
        if (list.size() == maxPageItems) {
            more = true;
            break;
        }
        list.push_back(this->describe(key, item));
    }
    this->reply(
            connection, 200,
            {{"items", std::move(list)}, {"has_more", more}, {"store_revision", this->revision}});
}

void PlatformStore::onWatch(HttpConnection &connection,
                            const std::map<std::string, std::string> &query)
{
    const std::uint64_t after = number(query, "after");
    if (after < this->oldestRevision || after > this->revision) {
        this->reply(connection, 410, {});
        return;
    }
    const std::string prefix = query.contains("prefix") ? query.at("prefix") : "";
    const std::uint64_t id = connection.number();
    const Duration wait = std::chrono::milliseconds(number(query, "wait_ms"));
    const Instant end = EventLoop::now() + wait;
    // The watch polls the revision, which is sufficient for a stand-in.
    struct WatchPoll
    {
        static void poll(PlatformStore &store, std::uint64_t id, std::string prefix,
                         std::uint64_t after, Instant end)
        {
            const bool hasExpired = EventLoop::now() >= end;
            if (store.revision > after || hasExpired) {
                store.answerWatch(id, prefix, after);
                return;
            }
            store.loop.after(watchPollInterval, [&store, id, prefix, after, end] {
                poll(store, id, prefix, after, end);
            });
        }
    };
    WatchPoll::poll(*this, id, prefix, after, end);
}

void PlatformStore::answerWatch(std::uint64_t id, const std::string &prefix, std::uint64_t after)
{
    const auto connection = this->server.find(id);
    if (connection == nullptr) {
        return;
    }
    nlohmann::json events = nlohmann::json::array();
    for (const Change &change : this->history) {
        if (change.revision <= after || !change.key.starts_with(prefix)) {
            continue;
        }
        events.push_back(change.removed ? nlohmann::json {{"key", change.key},
                                                          {"revision", change.revision},
                                                          {"removed", true}}
                                        : this->describe(change.key, change.item));
    }
    this->reply(*connection, 200,
                {{"events", std::move(events)}, {"store_revision", this->revision}});
}

void PlatformStore::onTransaction(HttpConnection &connection, const nlohmann::json &body)
{
    for (const nlohmann::json &put : body.at("puts")) {
        const std::uint64_t lease = put.value("lease", std::uint64_t(0));
        if (lease != 0 && !this->leases.contains(lease)) {
            this->reply(connection, 404, {});
            return;
        }
    }
    for (const nlohmann::json &put : body.at("puts")) {
        this->put(put.at("key").get<std::string>(),
                  decodeBase64(put.at("value").get<std::string>()),
                  put.value("lease", std::uint64_t(0)));
    }
    this->reply(connection, 200, {{"revision", this->revision}});
}

void PlatformStore::endLease(std::uint64_t lease)
{
    this->leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, item] : this->items) {
        if (item.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        this->remove(key);
    }
}

} // namespace lagoondeck
