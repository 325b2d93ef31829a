#pragma once

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>
#include <functional>
#include <memory>
#include <string>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace lagoondeck {

/// An HTTP service on a free loopback port that answers every request by one function.
class FakeService
{
public:
    using Handler =
            std::function<void(Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &)>;

    explicit FakeService(Handler handler);
    ~FakeService();

    const std::string &address() const { return this->text; }

private:
    Poco::Net::ServerSocket socket;
    std::string text;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

/// The whole body of a request.
std::string bodyOf(Poco::Net::HTTPServerRequest &request);

/// Answers with a status and a JSON body.
void reply(Poco::Net::HTTPServerResponse &response, int status, const std::string &body);

/// An address of loopback that refuses connections.
std::string refusingAddress();

} // namespace lagoondeck
