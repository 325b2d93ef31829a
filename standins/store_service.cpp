#include "standins/store_service.h"

#include "standins/base64.h"

namespace lagoondeck {

namespace {

constexpr Duration second = std::chrono::seconds(1);

} // namespace

StoreService::StoreService(EventLoop &loop, std::string address, std::string controlAddress)
    : loop(loop),
      server(loop, std::move(address),
             {[this](HttpConnection &connection, const ReceivedRequest &message) {
                  this->onRequest(connection, message);
              },
              {},
              [this](HttpConnection &connection) { this->watches.erase(connection.number()); }}),
      control(loop, std::move(controlAddress),
              {[this](HttpConnection &connection, const ReceivedRequest &message) {
                   this->onControl(connection, message);
               },
               {},
               {}})
{ }

void StoreService::start()
{
    this->server.listen();
    this->control.listen();
    this->startNextSecond();
}

void StoreService::onRequest(HttpConnection &connection, const ReceivedRequest &message)
{
    try {
        this->onCall(connection, message.path(), nlohmann::json::parse(message.body));
    } catch (const nlohmann::json::exception &error) {
        connection.reply(400, {}, nlohmann::json {{"error", error.what()}}.dump());
    }
}

void StoreService::onCall(HttpConnection &connection, const std::string &path,
                          const nlohmann::json &request)
{
    const bool isWrite = path != "/v3/kv/range" && path != "/v3/watch";
    if (!(isWrite ? this->admitCall(this->writesThisSecond, this->faults.writesPerSecond)
                  : this->admitCall(this->readsThisSecond, this->faults.readsPerSecond))) {
        connection.reply(429, {}, R"({"error":"too many requests","code":8})");
    } else if (path == "/v3/kv/range") {
        ++this->calls.reads;
        this->reply(connection, this->state.range(request));
    } else if (path == "/v3/kv/txn") {
        ++this->calls.writes;
        this->transact(connection, request);
    } else if (path == "/v3/lease/grant") {
        ++this->calls.leases;
        this->reply(connection, this->grantLease(request));
    } else if (path == "/v3/lease/keepalive") {
        ++this->calls.leases;
        this->reply(connection, this->renewLease(request));
    } else if (path == "/v3/lease/revoke") {
        ++this->calls.leases;
        this->scheduleLeaseEnd(readNumber(request, "ID"), Duration(0));
        this->reply(connection, {{"header", this->state.header()}});
    } else if (path == "/v3/watch") {
        ++this->calls.watchesOpened;
        this->openWatch(connection, request.at("create_request"));
    } else {
        connection.reply(404, {}, "");
    }
}

void StoreService::transact(HttpConnection &connection, const nlohmann::json &request)
{
    const nlohmann::json result = this->state.transact(request);
    if (std::bernoulli_distribution(this->faults.lostReplies)(this->random)) {
        ++this->calls.repliesLost;
        connection.close();
    } else {
        this->reply(connection, result);
    }
    this->sendWatchEvents();
}

nlohmann::json StoreService::grantLease(const nlohmann::json &request)
{
    const std::int64_t lease = this->state.grantLease();
    const std::int64_t seconds = readNumber(request, "TTL");
    this->scheduleLeaseEnd(lease, std::chrono::seconds(seconds));
    return {{"header", this->state.header()},
            {"ID", std::to_string(lease)},
            {"TTL", std::to_string(seconds)}};
}

nlohmann::json StoreService::renewLease(const nlohmann::json &request)
{
    const std::int64_t lease = readNumber(request, "ID");
    const auto found = this->leases.find(lease);
    const Duration timeToLive = found == this->leases.end() ? Duration(0) : found->second.first;
    if (found != this->leases.end()) {
        this->scheduleLeaseEnd(lease, timeToLive);
    }
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeToLive).count();
    return {{"result", {{"ID", std::to_string(lease)}, {"TTL", std::to_string(seconds)}}}};
}

void StoreService::scheduleLeaseEnd(std::int64_t lease, Duration timeToLive)
{
    if (const auto found = this->leases.find(lease); found != this->leases.end()) {
        this->loop.cancel(found->second.second);
    }
    const EventLoop::TimerId timer = this->loop.after(timeToLive, [this, lease] {
        this->leases.erase(lease);
        this->state.endLease(lease);
        this->sendWatchEvents();
    });
    this->leases[lease] = {timeToLive, timer};
}

void StoreService::openWatch(HttpConnection &connection, const nlohmann::json &request)
{
    Watch watch;
    watch.first = decodeBase64(request.value("key", std::string()));
    watch.end = decodeBase64(request.value("range_end", std::string()));
    const auto from = static_cast<std::uint64_t>(readNumber(request, "start_revision"));
    watch.nextRevision = from == 0 ? this->state.revision() + 1 : from;
    connection.beginStream();
    const nlohmann::json created {{"header", this->state.header()}, {"created", true}};
    connection.sendChunk(nlohmann::json {{"result", created}}.dump() + "\n");
    Watch &stored = this->watches[connection.number()] = watch;
    this->sendWatchEvents(connection, stored);
}

void StoreService::sendWatchEvents()
{
    // Sending can close a connection and thereby remove its watch, so iterate over a copy.
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, watch] : this->watches) {
        numbers.push_back(number);
    }
    for (const std::uint64_t number : numbers) {
        const auto connection = this->server.find(number);
        const auto watch = this->watches.find(number);
        if (connection && watch != this->watches.end()) {
            this->sendWatchEvents(*connection, watch->second);
        }
    }
}

void StoreService::sendWatchEvents(HttpConnection &connection, Watch &watch)
{
    nlohmann::json events = nlohmann::json::array();
    for (const RecordedChange &change : this->state.changes()) {
        if (change.revision >= watch.nextRevision
            && isInRange(change.key, watch.first, watch.end)) {
            events.push_back({{"type", change.deleted ? "DELETE" : "PUT"},
                              {"kv", writeKeyValue(change.key, change.value)}});
        }
    }
    watch.nextRevision = this->state.revision() + 1;
    if (!events.empty()) {
        const nlohmann::json update {{"header", this->state.header()}, {"events", events}};
        connection.sendChunk(nlohmann::json {{"result", update}}.dump() + "\n");
    }
}

bool StoreService::admitCall(std::uint32_t &used, std::uint32_t cap)
{
    if (used >= cap) {
        ++this->calls.refused;
        return false;
    }
    ++used;
    return true;
}

void StoreService::reply(HttpConnection &connection, const nlohmann::json &body)
{
    if (this->faults.delay == Duration(0)) {
        connection.reply(200, {}, body.dump());
        return;
    }
    this->loop.after(this->faults.delay, [this, number = connection.number(), text = body.dump()] {
        if (const auto waiting = this->server.find(number)) {
            waiting->reply(200, {}, text);
        }
    });
}

void StoreService::startNextSecond()
{
    this->readsThisSecond = 0;
    this->writesThisSecond = 0;
    this->calls.watchSeconds += this->watches.size();
    this->loop.after(second, [this] { this->startNextSecond(); });
}

void StoreService::onControl(HttpConnection &connection, const ReceivedRequest &message)
{
    const std::string route = message.head.getMethod() + " " + message.path();
    if (route == "GET /v1/counts") {
        nlohmann::json counts = this->calls;
        counts["watchesOpen"] = this->watches.size();
        counts["revision"] = this->state.revision();
        connection.reply(200, {}, counts.dump());
        return;
    }
    if (route == "POST /v1/reset") {
        this->calls = StoreCalls();
        connection.reply(204, {}, "");
        return;
    }
    try {
        const nlohmann::json command = nlohmann::json::parse(message.body);
        this->setOutage(command.value("outage", !this->server.isListening()));
        this->faults.delay = std::chrono::milliseconds(
                command.value("delayMs", toMilliseconds(this->faults.delay)));
        this->faults.lostReplies = command.value("lostReplies", this->faults.lostReplies);
        this->faults.readsPerSecond = command.value("readsPerSecond", this->faults.readsPerSecond);
        this->faults.writesPerSecond =
                command.value("writesPerSecond", this->faults.writesPerSecond);
        if (command.contains("goBackTo")) {
            this->state.restoreRevision(command["goBackTo"].get<std::uint64_t>());
        }
        connection.reply(204, {}, "");
    } catch (const nlohmann::json::exception &error) {
        connection.reply(400, {}, nlohmann::json {{"error", error.what()}}.dump());
    }
}

void StoreService::setOutage(bool outage)
{
    if (outage) {
        this->server.closeAll();
    } else {
        this->server.listen();
    }
}

} // namespace lagoondeck
