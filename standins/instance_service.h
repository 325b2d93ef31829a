#pragma once

#include "core/instance_list.h"
#include "core/time.h"
#include "standins/event_loop.h"
#include "standins/http_server.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace lagoondeck {

/// Stand-in for the platform's instance list: `GET /v1/instances` returns it, `POST /v1/control`
/// changes it. A change becomes visible after a configurable lag.
class InstanceService
{
public:
    InstanceService(EventLoop &loop, std::string address, InstanceList list);

    void start() { this->server.listen(); }
    const std::string &boundAddress() const { return this->server.boundAddress(); }

private:
    void onRequest(HttpConnection &connection, const ReceivedRequest &message);
    void onControl(HttpConnection &connection, const ReceivedRequest &message);
    void applyLater(std::function<void(InstanceList &)> change);

    EventLoop &loop;
    InstanceList visible;
    Duration lag {};
    bool outage = false;
    std::uint64_t reads = 0;
    HttpServer server;
};

} // namespace lagoondeck
