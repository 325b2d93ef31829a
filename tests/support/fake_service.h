#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <functional>
#include <string>
#include <utility>

namespace lagoondeck::testing {

/// Handles one request of a fake service.
using ServiceFunction =
        std::function<void(Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &)>;

/// Passes a request to the function.
class FunctionHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit FunctionHandler(const ServiceFunction &handle) : handle(handle) { }

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override
    {
        this->handle(request, response);
    }

private:
    const ServiceFunction &handle;
};

class FunctionHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit FunctionHandlerFactory(ServiceFunction handle) : handle(std::move(handle)) { }

    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new FunctionHandler(this->handle);
    }

private:
    ServiceFunction handle;
};

/// An HTTP service on a free loopback port that passes every request to one function.
class FakeService
{
public:
    explicit FakeService(ServiceFunction handle)
        : socket(Poco::Net::SocketAddress("127.0.0.1", 0)), text(this->socket.address().toString()),
          server(new FunctionHandlerFactory(std::move(handle)), this->socket,
                 new Poco::Net::HTTPServerParams)
    {
        this->server.start();
    }

    ~FakeService() { this->server.stopAll(true); }

    const std::string &address() const { return this->text; }

private:
    Poco::Net::ServerSocket socket;
    std::string text;
    Poco::Net::HTTPServer server;
};

/// Returns the whole body of a request.
inline std::string bodyOf(Poco::Net::HTTPServerRequest &request)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return body;
}

/// Replies with a status and a JSON body.
inline void reply(Poco::Net::HTTPServerResponse &response, int status, const std::string &body)
{
    response.setStatus(std::to_string(status));
    response.setContentLength64(static_cast<Poco::Int64>(body.size()));
    response.send() << body;
}

/// Returns a loopback address that refuses connections.
inline std::string refusingAddress()
{
    return Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)).address().toString();
}

} // namespace lagoondeck::testing
