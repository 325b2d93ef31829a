#include "fake_service.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>

namespace lagoondeck {

namespace {

class FunctionHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit FunctionHandler(const FakeService::Handler &handler) : handler(handler) { }

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override
    {
        this->handler(request, response);
    }

private:
    const FakeService::Handler &handler;
};

class FunctionFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit FunctionFactory(FakeService::Handler handler) : handler(std::move(handler)) { }

    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new FunctionHandler(this->handler);
    }

private:
    FakeService::Handler handler;
};

} // namespace

FakeService::FakeService(Handler handler)
    : socket(Poco::Net::SocketAddress("127.0.0.1", 0)), text(this->socket.address().toString())
{
    this->server = std::make_unique<Poco::Net::HTTPServer>(
            new FunctionFactory(std::move(handler)), this->socket, new Poco::Net::HTTPServerParams);
    this->server->start();
}

FakeService::~FakeService()
{
    this->server->stopAll(true);
}

std::string bodyOf(Poco::Net::HTTPServerRequest &request)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return body;
}

void reply(Poco::Net::HTTPServerResponse &response, int status, const std::string &body)
{
    response.setStatus(std::to_string(status));
    response.setContentLength64(static_cast<Poco::Int64>(body.size()));
    response.send() << body;
}

std::string refusingAddress()
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

} // namespace lagoondeck
