#include "drivers/edge/edge_loop.h"
#include "tests/support/test_failure.h"

#include <catch2/catch.hpp>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <array>
#include <chrono>

using namespace lagoondeck;
using Poco::Net::DatagramSocket;
using Poco::Net::SocketAddress;

// Guards against a handler that throws each time and so keeps the loop from all other sockets.
TEST_CASE("a handler that throws does not keep the others from being called")
{
    EdgeLoop loop;
    std::array<DatagramSocket, 3> sockets;
    std::array<int, 3> calls {};
    for (std::size_t i = 0; i < sockets.size(); ++i) {
        sockets[i].bind(SocketAddress("127.0.0.1", 0));
        sockets[i].connect(sockets[i].address());
        sockets[i].sendBytes("x", 1);
        loop.add(sockets[i], Poco::Net::PollSet::POLL_READ, [&calls, i](int) {
            ++calls[i];
            throw TestFailure("broken");
        });
    }
    for (int round = 1; round <= 3; ++round) {
        CHECK_THROWS_AS(loop.poll(std::chrono::seconds(5)), TestFailure);
        CHECK(calls == std::array<int, 3> {round, round, round});
    }
}
