#include "drivers/store_session.h"

#include "core/errors.h"
#include "drivers/store_codec.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusTooManyRequests = 429;

/// Returns whether the status means that the service did not start to process the call.
bool wasRefusedBeforeRun(int status)
{
    return status == statusBadRequest || status == statusTooManyRequests;
}

leaf::error_id malformedReplyError(const std::string &address, const std::string &detail)
{
    return leaf::new_error(StoreFailure {StoreStatus::Malformed, address, detail});
}

/// Runs a step and converts each of its errors to a StoreFailure.
template <typename Step>
auto asStoreFailure(const std::string &address, Step &&step) -> decltype(step())
{
    using Result = decltype(step());
    return leaf::try_handle_some(
            std::forward<Step>(step),
            [](const CallFailed &failure) -> Result {
                const auto status = failure.mayHaveTakenEffect ? StoreStatus::ReplyLost
                                                               : StoreStatus::Unavailable;
                return leaf::new_error(StoreFailure {status, failure.address, failure.detail});
            },
            [&](const MalformedInput &input) -> Result {
                return malformedReplyError(address, input.detail);
            },
            [&](const InvalidInput &input) -> Result {
                const FieldProblem &first = input.problems.front();
                return malformedReplyError(address, first.path + ": " + first.detail);
            });
}

} // namespace

StoreSession::StoreSession(std::string address) : session(std::move(address)) { }

leaf::result<StoreReply> StoreSession::call(const StoreRequest &request, Duration timeout)
{
    const std::string &address = this->session.address();
    return asStoreFailure(address, [&]() -> leaf::result<StoreReply> {
        const PlatformRequest httpRequest {"POST", storePath(request), writeStoreRequest(request)};
        BOOST_LEAF_AUTO(reply, this->session.call(httpRequest, timeout));
        if (reply.status != statusOk) {
            const auto status = wasRefusedBeforeRun(reply.status) ? StoreStatus::Unavailable
                                                                  : StoreStatus::ReplyLost;
            return leaf::new_error(
                    StoreFailure {status, address, "status " + std::to_string(reply.status)});
        }
        return parseStoreReply(request, reply.body);
    });
}

leaf::result<void> StoreSession::watch(const StoreWatch &request, Duration timeout,
                                       const std::function<void(StoreReply)> &onBatch)
{
    return asStoreFailure(this->session.address(), [&]() -> leaf::result<void> {
        const PlatformRequest httpRequest {"POST", storePath(request), writeStoreRequest(request)};
        leaf::result<void> watchResult;
        auto onLine = [&](std::string_view line) {
            auto batch = parseWatchBatch(line);
            if (!batch) {
                const leaf::error_id id = batch.error();
                watchResult = leaf::result<void>(id);
                return false;
            }
            const bool isLastBatch = batch->watchEnded;
            if (!batch->values.empty() || !batch->deletedKeys.empty()) {
                onBatch(std::move(*batch));
            }
            if (isLastBatch) {
                watchResult = leaf::result<void>(leaf::new_error(
                        StoreFailure {StoreStatus::ReplyLost, this->session.address(),
                                      "the service ended the watch"}));
            }
            return !isLastBatch;
        };
        BOOST_LEAF_CHECK(this->session.stream(httpRequest, timeout, onLine));
        return watchResult;
    });
}

} // namespace lagoondeck
