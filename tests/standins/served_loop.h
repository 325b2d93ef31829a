#pragma once

#include "standins/event_loop.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lagoondeck {

/// Runs the loop of a stand-in in a thread for the lifetime of this object. Create the stand-in
/// before it and destroy it afterwards.
class ServedLoop
{
public:
    explicit ServedLoop(EventLoop &loop) : loop(loop), thread([&loop] { loop.run(); }) { }
    ~ServedLoop() { this->stop(); }

    /// Calls a function that changes a stand-in, while the loop does not run.
    template <typename Function>
    void change(Function function)
    {
        this->stop();
        function();
        this->thread = std::thread([this] { this->loop.run(); });
    }

private:
    void stop()
    {
        this->loop.stop();
        this->thread.join();
    }

    EventLoop &loop;
    std::thread thread;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// The reply to one call.
struct CallReply
{
    Poco::Net::HTTPResponse head;
    std::string body;

    int status() const { return static_cast<int>(this->head.getStatus()); }
    std::string header(const std::string &name) const { return this->head.get(name, ""); }
};

/// A keep-alive connection to a stand-in.
class TestClient
{
public:
    explicit TestClient(const std::string &address) : session(Poco::Net::SocketAddress(address))
    {
        this->session.setKeepAlive(true);
        this->session.setTimeout(Poco::Timespan(5, 0));
    }

    void send(const std::string &method, const std::string &path, const std::string &body = "",
              const Headers &headers = {})
    {
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto &[name, value] : headers) {
            request.set(name, value);
        }
        request.setKeepAlive(true);
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        this->session.sendRequest(request) << body << std::flush;
    }

    CallReply receive()
    {
        CallReply reply;
        Poco::StreamCopier::copyToString(this->session.receiveResponse(reply.head), reply.body);
        return reply;
    }

    CallReply call(const std::string &method, const std::string &path, const std::string &body = "",
                   const Headers &headers = {})
    {
        this->send(method, path, body, headers);
        return this->receive();
    }

    std::istream &openStream(const std::string &path, const std::string &body)
    {
        this->send("POST", path, body);
        return this->session.receiveResponse(this->streamHead);
    }

private:
    Poco::Net::HTTPClientSession session;
    Poco::Net::HTTPResponse streamHead;
};

} // namespace lagoondeck
