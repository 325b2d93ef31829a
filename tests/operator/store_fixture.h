#pragma once

#include "core/errors.h"
#include "drivers/platform_session.h"
#include "standins/event_loop.h"
#include "standins/store_service.h"

#include <boost/leaf/handle_errors.hpp>
#include <string>
#include <thread>

namespace lagoondeck {

/// Runs a key-value stand-in on free loopback ports in its own thread.
class StoreFixture
{
public:
    StoreFixture() : service(this->loop, "127.0.0.1:0", "127.0.0.1:0")
    {
        this->service.start();
        this->thread = std::thread([this] { this->loop.run(); });
    }

    ~StoreFixture()
    {
        this->loop.stop();
        this->thread.join();
    }

    std::string address() const { return this->service.boundAddress(); }

    /// Injects faults; returns false when the stand-in refused them.
    bool control(const std::string &json)
    {
        PlatformSession session(this->service.controlAddress());
        return boost::leaf::try_handle_all(
                [&]() -> boost::leaf::result<bool> {
                    const PlatformRequest request {"POST", "/v1/control", json};
                    BOOST_LEAF_AUTO(reply, session.call(request, std::chrono::seconds(10)));
                    return reply.status == 204;
                },
                [] { return false; });
    }

private:
    EventLoop loop;
    StoreService service;
    std::thread thread;
};

} // namespace lagoondeck
