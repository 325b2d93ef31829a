#pragma once

#include "core/time.h"

#include <Poco/Net/HTTPClientSession.h>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lagoondeck {

/// The outcome of one attempt to send a query.
enum class SendOutcome {
    Replied,
    Refused, ///< The connection was refused, so nothing was sent.
    NoReply, ///< The query may have been sent, but no complete reply arrived.
};

/// The result of one attempt to send a query.
struct SendResult
{
    SendOutcome outcome = SendOutcome::NoReply;
    std::string reply;
    /// The client's error when there was no reply.
    std::string problem;
};

/// A pool of keep-alive connections to one entry instance.
class EntryPool
{
public:
    EntryPool(std::string address, std::uint32_t limit);

    const std::string &entryAddress() const { return this->address; }
    /// Reserves a connection; returns false when all are in use.
    bool tryReserve();
    /// Sends a query over a reserved connection and releases the connection.
    SendResult send(const std::string &path, const std::string &body, Duration timeout);

private:
    using Session = Poco::Net::HTTPClientSession;

    /// Returns an idle connection that the entry instance has not closed, or a new one.
    std::unique_ptr<Session> acquire();
    void release(std::unique_ptr<Session> session);

    std::string address;
    std::uint32_t limit;
    std::mutex mutex;
    std::uint32_t inUse = 0;
    std::vector<std::unique_ptr<Session>> idle;
};

} // namespace lagoondeck
