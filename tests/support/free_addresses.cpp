#include "tests/support/free_addresses.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <random>

namespace lagoondeck {

std::vector<std::string> freeAddresses(std::size_t count)
{
    std::random_device random;
    std::uniform_int_distribution<unsigned> part(1, 250);
    const std::string ip = "127." + std::to_string(part(random)) + "."
            + std::to_string(part(random)) + "." + std::to_string(part(random));
    // All sockets are open at the same time, so that no port is chosen twice.
    std::vector<Poco::Net::ServerSocket> sockets;
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < count; ++i) {
        sockets.emplace_back(Poco::Net::SocketAddress(ip, 0));
        addresses.push_back(sockets.back().address().toString());
    }
    return addresses;
}

} // namespace lagoondeck
