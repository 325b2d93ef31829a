#pragma once

#include "core/time.h"
#include "standins/event_loop.h"
#include "standins/http_server.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoondeck {

/// A fault of a stand-in target of the users' platform.
enum class TargetFault {
    None,
    Refuse,          ///< States that it did not run the request.
    Fail,            ///< Answers with status 500.
    Unsigned,        ///< Answers without the signature.
    WrongRequestId,  ///< Answers with the id of another request.
    CloseConnection, ///< Closes the connection instead of answering.
    WrongInstance,   ///< Answers as another instance that now has this address.
};

/// Stand-in for a target of the users' platform: runs a request, signs the answer and returns
/// records.
class PlatformTarget
{
public:
    PlatformTarget(EventLoop &loop, std::string id, std::vector<std::string> records);

    void start() { this->server.listen(); }
    const std::string &boundAddress() const { return this->server.boundAddress(); }
    const std::string &id() const { return this->instanceId; }
    /// Returns the value with which the target registers in the store.
    std::string registrationEntry(const std::string &group,
                                  const std::string &state = "ready") const;

    void setFault(TargetFault value) { this->fault = value; }
    void setDelay(Duration value) { this->delay = value; }
    /// Sets the limit that the replies state, in requests per second. Call before start().
    void setLimit(std::string value) { this->limit = std::move(value); }
    std::uint64_t runs() const { return this->runCount; }
    /// Returns the time limit that came with the request; empty if it did not run here.
    std::optional<Duration> timeLimitOf(const std::string &requestId) const;
    /// Returns the number of runs of requests that had already run on this target.
    std::uint64_t duplicateRuns() const { return this->duplicateRunCount; }

private:
    void onRequest(HttpConnection &connection, const ReceivedRequest &request);
    void answer(std::uint64_t connection, const std::string &requestId);

    EventLoop &loop;
    std::string instanceId;
    std::vector<std::string> records;
    TargetFault fault = TargetFault::None;
    Duration delay {};
    std::string limit;
    std::set<std::string> seen;
    mutable std::mutex timeLimitsMutex;
    std::map<std::string, Duration> timeLimits;
    std::uint64_t runCount = 0;
    std::uint64_t duplicateRunCount = 0;
    HttpServer server;
};

} // namespace lagoondeck
