#include "bench/entry_pool.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <utility>

namespace lagoondeck {

namespace {

/// Longer than any run, so that only the entry instance closes idle connections.
const Poco::Timespan keepAliveTime(3600, 0);

} // namespace

EntryPool::EntryPool(std::string address, std::uint32_t limit)
    : address(std::move(address)), limit(limit)
{ }

bool EntryPool::tryReserve()
{
    const std::scoped_lock lock(this->mutex);
    if (this->inUse >= this->limit) {
        return false;
    }
    ++this->inUse;
    return true;
}

SendResult EntryPool::send(const std::string &path, const std::string &body, Duration timeout)
{
    std::unique_ptr<Session> session;
    SendResult result;
    try {
        session = this->acquire();
        session->setTimeout(Poco::Timespan(timeout.count()));
        Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_POST, path,
                                       Poco::Net::HTTPMessage::HTTP_1_1);
        request.setKeepAlive(true);
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session->sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        Poco::StreamCopier::copyToString(session->receiveResponse(response), result.reply);
        result.outcome = SendOutcome::Replied;
        if (!response.getKeepAlive()) {
            session.reset();
        }
    } catch (const Poco::Net::ConnectionRefusedException &) {
        result.outcome = SendOutcome::Refused;
        result.problem = "connection-refused";
        session.reset();
    } catch (const Poco::Exception &error) {
        result.problem = error.className();
        session.reset();
    } catch (const std::exception &error) {
        result.problem = error.what();
        session.reset();
    }
    this->release(std::move(session));
    return result;
}

std::unique_ptr<Poco::Net::HTTPClientSession> EntryPool::acquire()
{
    while (true) {
        std::unique_ptr<Session> session;
        {
            const std::scoped_lock lock(this->mutex);
            if (this->idle.empty()) {
                break;
            }
            session = std::move(this->idle.back());
            this->idle.pop_back();
        }
        // An idle connection is readable only when the entry instance has closed it.
        if (!session->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            return session;
        }
    }
    auto session = std::make_unique<Session>(Poco::Net::SocketAddress(this->address));
    session->setKeepAlive(true);
    session->setKeepAliveTimeout(keepAliveTime);
    return session;
}

void EntryPool::release(std::unique_ptr<Session> session)
{
    const std::scoped_lock lock(this->mutex);
    --this->inUse;
    if (session && session->connected()) {
        this->idle.push_back(std::move(session));
    }
}

} // namespace lagoondeck
