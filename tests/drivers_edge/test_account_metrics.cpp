#include "drivers/edge/gateway_metrics.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;

TEST_CASE("the metrics tell by account what decided on its requests")
{
    GatewayStatus status;
    status.accountUsage["acme"] = {5, 4, 3};
    const std::string page = GatewayMetrics().page(status, {}, {});
    for (const char *sample :
         {"decision=\"granted\"} 5", "decision=\"refused\"} 4", "decision=\"local\"} 3"}) {
        CHECK(page.find("lagoondeck_account_decisions_total{account=\"acme\","
                        + std::string(sample))
              != std::string::npos);
    }
}
