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
class StepGuard;
struct Settings;

/// Callbacks from the caller server to the entry instance. Each may be called from any thread.
struct CallerServerHooks
{
    std::function<void(EventBody)> post;
    std::function<bool()> isReady;
    std::function<bool()> isStopping;
    std::function<std::string()> statusJson;
    std::function<std::string()> metricsText;
};

/// Serves the HTTP API for callers, the platform and operators that docs/API.md describes.
class CallerServer
{
public:
    /// The guard runs the requests.
    CallerServer(const Settings &settings, PendingAnswers &pending, CallerServerHooks hooks,
                 StepGuard &guard);
    ~CallerServer();

    /// Returns the number of requests that are being read, processed or answered.
    std::uint32_t activeRequestCount() const { return this->activeRequests; }
    /// Stops accepting connections and closes the idle ones.
    void stop();

private:
    PendingAnswers &pending;
    CallerServerHooks hooks;
    StepGuard &guard;
    std::atomic<std::uint32_t> activeRequests {0};
    std::unique_ptr<Poco::ThreadPool> threads;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

} // namespace lagoondeck
