#pragma once

#include "logic/events.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Poco {
class ThreadPool;
namespace Net {
class HTTPServer;
}
} // namespace Poco

namespace lagoondeck {

class PendingAnswers;
struct Settings;

/// What the caller server asks of the daemon. All of them may be called by any thread.
struct CallerServerHooks
{
    std::function<void(EventBody)> post;
    std::function<bool()> ready;
    std::function<bool()> stopping;
    std::function<std::string()> statusJson;
    std::function<std::string()> metricsText;
};

/// Serves callers, the platform and operators by HTTP, as docs/API.md says.
class CallerServer
{
public:
    CallerServer(const Settings &settings, PendingAnswers &pending, CallerServerHooks hooks);
    ~CallerServer();

    /// Requests that are being read, worked on or answered.
    std::uint32_t active() const { return this->activeRequests; }
    /// Takes no new connection and closes the idle ones.
    void stop();

private:
    PendingAnswers &pending;
    CallerServerHooks hooks;
    std::atomic<std::uint32_t> activeRequests {0};
    std::unique_ptr<Poco::ThreadPool> threads;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

} // namespace lagoondeck
