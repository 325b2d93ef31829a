#pragma once

#include "drivers/caller_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <atomic>
#include <cstdint>
#include <string>

namespace lagoondeck {

/// Handles one HTTP request on its connection's thread.
class CallerHandler : public Poco::Net::HTTPRequestHandler
{
public:
    CallerHandler(PendingAnswers &pending, const CallerServerHooks &hooks,
                  std::atomic<std::uint32_t> &activeRequests, StepGuard &guard,
                  std::uint64_t maximumBodyBytes);

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override;

private:
    void handleOrRefuse(Poco::Net::HTTPServerRequest &request,
                        Poco::Net::HTTPServerResponse &response);
    void route(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void query(const std::string &entry, Poco::Net::HTTPServerRequest &request,
               Poco::Net::HTTPServerResponse &response);
    void runQuery(CallerRequest parsed, const std::string &entry,
                  Poco::Net::HTTPServerResponse &response);
    void refuseMalformed(Poco::Net::HTTPServerResponse &response, const std::string &detail);
    void drain(Poco::Net::HTTPServerResponse &response);
    void reply(Poco::Net::HTTPServerResponse &response, int status, const std::string &body,
               const std::string &type = "application/json");

    PendingAnswers &pending;
    const CallerServerHooks &hooks;
    std::atomic<std::uint32_t> &activeRequests;
    StepGuard &guard;
    std::uint64_t maximumBodyBytes;
};

} // namespace lagoondeck
