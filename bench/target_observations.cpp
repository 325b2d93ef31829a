#include "bench/target_observations.h"

#include "bench/http_call.h"
#include "core/json_input.h"

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr Duration callTimeout = std::chrono::seconds(20);

} // namespace

leaf::result<TargetObservations> fetchTargetObservations(const std::string &controlAddress)
{
    BOOST_LEAF_AUTO(dump, callHttp(controlAddress, "GET", "/v1/ran", "", callTimeout));
    BOOST_LEAF_AUTO(text, callHttp(controlAddress, "GET", "/v1/versions", "", callTimeout));
    BOOST_LEAF_AUTO(versions, parseJson(text));
    BOOST_LEAF_AUTO(countText, callHttp(controlAddress, "GET", "/v1/counts", "", callTimeout));
    BOOST_LEAF_AUTO(counts, parseJson(countText));
    TargetObservations observations;
    counts.at("total").get_to(observations.counts);
    observations.runsByRequest = parseRunDump(dump);
    versions.get_to(observations.shardCounts);
    return observations;
}

} // namespace lagoondeck
