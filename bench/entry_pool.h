#pragma once

#include "core/time.h"

#include <Poco/Net/HTTPClientSession.h>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lagoondeck {

/// How one try to send a query ended.
enum class SendEnd {
    Replied,
    Refused, ///< No connection came about: nothing left.
    NoReply, ///< Something may have left, and no whole reply came.
};

/// One try to send a query.
struct SendTry
{
    SendEnd end = SendEnd::NoReply;
    std::string reply;
    /// What the client saw when there was no reply.
    std::string problem;
};

/// The kept-alive connections to one entry instance.
class EntryPool
{
public:
    EntryPool(std::string address, std::uint32_t limit);

    const std::string &entryAddress() const { return this->address; }
    /// Takes the right to use one connection; false when all are in use.
    bool tryReserve();
    /// Sends over a reserved connection and gives it back.
    SendTry send(const std::string &path, const std::string &body, Duration timeout);

private:
    using Session = Poco::Net::HTTPClientSession;

    /// An idle connection that the other side has not closed, or a new one.
    std::unique_ptr<Session> take();
    void giveBack(std::unique_ptr<Session> session);

    std::string address;
    std::uint32_t limit;
    std::mutex mutex;
    std::uint32_t inUse = 0;
    std::vector<std::unique_ptr<Session>> idle;
};

} // namespace lagoondeck
