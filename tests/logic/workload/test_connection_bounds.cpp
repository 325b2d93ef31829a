#include "logic/workload/connection_bounds.h"

#include <catch2/catch.hpp>

using namespace lagoondeck;

namespace {

constexpr std::size_t megabyte = 1024 * 1024;

} // namespace

// Guards against bounds that a deployment meets which does not state the size of its machines.
TEST_CASE("a machine of unknown size bounds neither callers' bytes nor their connections")
{
    const MachineShares shares(0, 0);
    CHECK(shares.callerBytes() == ConnectionBounds::unlimited);
    CHECK(shares.callerConnections(1000) == ConnectionBounds::unlimited);
    CHECK(shares.targetReplyBytes() == 48 * megabyte);
    CHECK(shares.storeReplyBytes() == 48 * megabyte);
}

TEST_CASE("the shares of the memory fit into it besides the process")
{
    for (const std::uint64_t megabytes : {64, 96, 160, 320, 512, 4096}) {
        const MachineShares shares(megabytes, 0);
        CHECK(shares.callerBytes() > 0);
        CHECK(shares.callerBytes() + shares.targetReplyBytes() + shares.storeReplyBytes()
              <= (megabytes - 32) * megabyte);
    }
}

TEST_CASE("callers leave descriptors for files and for a quarter of other connections")
{
    CHECK(MachineShares(0, 4100).callerConnections(30) == 4100 - 200 - 1025);
    CHECK(MachineShares(0, 8192).callerConnections(30) == 8192 - 200 - 2048);
    // Others that use more than a quarter reduce what is left.
    CHECK(MachineShares(0, 4100).callerConnections(2000) == 4100 - 200 - 2000);
    CHECK(MachineShares(0, 4100).callerConnections(5000) == 1);
}
