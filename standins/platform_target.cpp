#include "standins/platform_target.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace lagoondeck {

PlatformTarget::PlatformTarget(EventLoop &loop, std::string id, std::vector<std::string> records)
    : loop(loop), instanceId(std::move(id)), records(std::move(records)),
      server(loop, "127.0.0.1:0",
             {[this](HttpConnection &connection, const ReceivedRequest &request) {
                  this->onRequest(connection, request);
              },
              {},
              {}})
{ }

std::string PlatformTarget::registrationEntry(const std::string &group,
                                              const std::string &state) const
{
    return nlohmann::json {{"service", group},     {"address", this->boundAddress()},
                           {"zone", "fd-1"},       {"version", "v1"},
                           {"slots", 3},           {"state", state},
                           {"warmup_left_ms", 0},  {"sequence", 1},
                           {"born", 1700000000000}}
            .dump();
}

std::optional<Duration> PlatformTarget::timeLimitOf(const std::string &requestId) const
{
    const std::scoped_lock lock(this->timeLimitsMutex);
    const auto found = this->timeLimits.find(requestId);
    return found == this->timeLimits.end() ? std::nullopt : std::optional(found->second);
}

void PlatformTarget::onRequest(HttpConnection &connection, const ReceivedRequest &request)
{
    const std::string id = request.header("Request-Id");
    if (this->fault == TargetFault::WrongInstance
        || request.header("Expect-Instance") != this->instanceId) {
        connection.reply(421, {{"Instance-Id", "another"}}, "");
        return;
    }
    if (this->fault == TargetFault::Refuse) {
        connection.reply(503, {{"Not-Executed", "1"}}, "");
        return;
    }
    if (this->fault == TargetFault::CloseConnection) {
        connection.close();
        return;
    }
    {
        const std::scoped_lock lock(this->timeLimitsMutex);
        this->timeLimits[id] = std::chrono::milliseconds(
                std::strtol(request.header("Deadline-Ms").c_str(), nullptr, 10));
    }
    ++this->runCount;
    this->duplicateRunCount += this->seen.insert(id).second ? 0 : 1;
    const std::uint64_t number = connection.number();
    this->loop.after(this->delay, [this, number, id] { this->answer(number, id); });
}

void PlatformTarget::answer(std::uint64_t number, const std::string &requestId)
{
    const auto connection = this->server.find(number);
    if (connection == nullptr) {
        return;
    }
    std::string body;
    for (const std::string &record : this->records) {
        body += record;
    }
    HttpHeaders headers;
    headers.emplace_back("Request-Id",
                         this->fault == TargetFault::WrongRequestId ? "another" : requestId);
    if (this->fault != TargetFault::Unsigned) {
        headers.emplace_back("Server-Stamp", this->instanceId + "/" + requestId);
    }
    if (!this->limit.empty()) {
        headers.emplace_back("Server-Limit", this->limit);
    }
    connection->reply(this->fault == TargetFault::Fail ? 500 : 200, headers, body);
}

} // namespace lagoondeck
