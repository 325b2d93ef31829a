#include "bench/http_call.h"

#include "core/errors.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <boost/leaf/error.hpp>

namespace lagoondeck {

namespace leaf = boost::leaf;

leaf::result<std::string> callHttp(const std::string &address, const std::string &method,
                                   const std::string &path, const std::string &body,
                                   Duration timeout)
{
    try {
        Poco::Net::HTTPClientSession session {Poco::Net::SocketAddress(address)};
        session.setTimeout(Poco::Timespan(timeout.count()));
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::string reply;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), reply);
        if (response.getStatus() >= Poco::Net::HTTPResponse::HTTP_MULTIPLE_CHOICES) {
            const std::string status = std::to_string(static_cast<int>(response.getStatus()));
            return leaf::new_error(CallFailed {address, "status " + status, true});
        }
        return reply;
    } catch (const Poco::Net::ConnectionRefusedException &) {
        return leaf::new_error(CallFailed {address, "connection refused", false});
    } catch (const Poco::Exception &error) {
        return leaf::new_error(CallFailed {address, error.displayText(), true});
    } catch (const std::exception &error) {
        return leaf::new_error(CallFailed {address, error.what(), true});
    }
}

} // namespace lagoondeck
