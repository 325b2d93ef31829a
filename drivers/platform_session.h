#pragma once

#include "core/time.h"
#include "drivers/socket_interrupter.h"

#include <boost/leaf/result.hpp>
#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>

namespace lagoondeck {

class PlatformConnection;

/// One HTTP request to a service of the platform or to an entry instance.
struct PlatformRequest
{
    std::string method = "GET";
    std::string path;
    std::string body;
};

struct PlatformReply
{
    int status = 0;
    std::string body;
};

/// A persistent HTTP connection with blocking calls, for one thread at a time. Calls fail with
/// CallFailed, which reports reliably whether the request may have taken effect.
class PlatformSession
{
public:
    /// The address is an IP address and a port.
    explicit PlatformSession(std::string address);
    ~PlatformSession();

    PlatformSession(const PlatformSession &) = delete;
    PlatformSession &operator=(const PlatformSession &) = delete;

    boost::leaf::result<PlatformReply> call(const PlatformRequest &request, Duration timeout);

    /// Passes each line of an unbounded reply to onLine until that returns false, then succeeds.
    /// The timeout applies to connecting and sending only.
    boost::leaf::result<void> stream(const PlatformRequest &request, Duration timeout,
                                     const std::function<bool(std::string_view)> &onLine);

    /// Aborts the current call and makes every later call fail. May be called from any thread.
    void interrupt();

    const std::string &address() const { return this->peerAddress; }

private:
    boost::leaf::result<void> connect(Duration timeout);
    std::istream &send(const PlatformRequest &request, int &status);
    boost::leaf::error_id closeWithError(const std::string &detail);
    void disconnect();

    std::string peerAddress;
    std::unique_ptr<PlatformConnection> connection;
    SocketInterrupter interrupter;
};

} // namespace lagoondeck
