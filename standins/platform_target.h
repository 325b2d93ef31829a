#pragma once

#include "core/time.h"
#include "standins/event_loop.h"
#include "standins/http_server.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace lagoondeck {

/// How a target of the users' platform misbehaves.
enum class TargetFault {
    None,
    Refuse,     ///< It says that it did not run the request.
    Fail,       ///< Its own error.
    Unsigned,   ///< An answer without its signature.
    OtherId,    ///< It answers for another request.
    BreakOff,   ///< It closes the connection.
    OtherOwner, ///< Another process has the address.
};

/// A target of the users' platform as a stand-in: it runs a request, signs its answer and sends
/// records.
class PlatformTarget
{
public:
    PlatformTarget(EventLoop &loop, std::string id, std::vector<std::string> records);

    void start() { this->server.listen(); }
    const std::string &boundAddress() const { return this->server.boundAddress(); }
    const std::string &id() const { return this->ownId; }
    /// What it registers in the store.
    std::string entry(const std::string &group, const std::string &state = "ready") const;

    void setFault(TargetFault value) { this->fault = value; }
    void setDelay(Duration value) { this->delay = value; }
    std::uint64_t runs() const { return this->runCount; }
    /// Requests that ran here more than once.
    std::uint64_t doubled() const { return this->doubledCount; }

private:
    void onRequest(HttpConnection &connection, const ReceivedRequest &request);
    void answer(std::uint64_t connection, const std::string &requestId);

    EventLoop &loop;
    std::string ownId;
    std::vector<std::string> records;
    TargetFault fault = TargetFault::None;
    Duration delay {};
    std::set<std::string> seen;
    std::uint64_t runCount = 0;
    std::uint64_t doubledCount = 0;
    HttpServer server;
};

} // namespace lagoondeck
