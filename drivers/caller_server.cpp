#include "drivers/caller_server.h"

#include "core/settings.h"
#include "drivers/caller_handler.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>
#include <utility>

namespace lagoondeck {

namespace {

constexpr int keepAliveSeconds = 60;
/// Closes the connection of a caller that sends nothing for this long within a request.
constexpr int requestTimeoutSeconds = 10;
constexpr int threadStackBytes = 256 * 1024;

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    using CreateHandler = std::function<Poco::Net::HTTPRequestHandler *()>;

    explicit HandlerFactory(CreateHandler createHandler) : createHandler(std::move(createHandler))
    { }

    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return this->createHandler();
    }

private:
    CreateHandler createHandler;
};

} // namespace

CallerServer::CallerServer(const Settings &settings, PendingAnswers &pending,
                           CallerServerHooks hooks, StepGuard &guard)
    : pending(pending), hooks(std::move(hooks)), guard(guard)
{
    const int threadCount = static_cast<int>(settings.callerThreads);
    this->threads =
            std::make_unique<Poco::ThreadPool>(4, threadCount, keepAliveSeconds, threadStackBytes);
    auto parameters = Poco::makeAuto<Poco::Net::HTTPServerParams>();
    parameters->setMaxThreads(threadCount);
    parameters->setMaxQueued(threadCount);
    parameters->setKeepAlive(true);
    parameters->setMaxKeepAliveRequests(0);
    parameters->setKeepAliveTimeout(Poco::Timespan(keepAliveSeconds, 0));
    parameters->setTimeout(Poco::Timespan(requestTimeoutSeconds, 0));
    const std::uint64_t maxBodyBytes = settings.maximumBodyBytes;
    Poco::SharedPtr<HandlerFactory> factory = new HandlerFactory([this, maxBodyBytes] {
        return new CallerHandler(this->pending, this->hooks, this->activeRequests, this->guard,
                                 maxBodyBytes);
    });
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(settings.httpAddress), 1024);
    this->server =
            std::make_unique<Poco::Net::HTTPServer>(factory, *this->threads, socket, parameters);
    this->server->start();
}

CallerServer::~CallerServer()
{
    this->stop();
}

void CallerServer::stop()
{
    this->server->stopAll(false);
}

} // namespace lagoondeck
