#pragma once

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lagoondeck::untrustedtest {

/// Many connections of which one half sends nothing and the other half a byte of a request now and
/// then. A connection that ends is made again.
class IdleCrowd
{
public:
    IdleCrowd(const std::string &address, std::size_t count)
        : address(address), connections(count), thread([this] { this->run(); })
    { }

    ~IdleCrowd()
    {
        this->stopping = true;
        this->thread.join();
    }

    IdleCrowd(const IdleCrowd &) = delete;
    IdleCrowd &operator=(const IdleCrowd &) = delete;

    /// Waits until each connection was begun several times or used.
    void waitForRounds(int count) const
    {
        while (this->rounds < count) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

private:
    struct Connection
    {
        std::unique_ptr<Poco::Net::StreamSocket> socket;
        std::size_t sent = 0;
    };

    void run()
    {
        while (!this->stopping) {
            for (std::size_t i = 0; i < this->connections.size(); ++i) {
                this->advance(this->connections[i], i % 2 == 0);
            }
            ++this->rounds;
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }

    void advance(Connection &connection, bool sends)
    {
        try {
            if (connection.socket == nullptr) {
                connection.socket = std::make_unique<Poco::Net::StreamSocket>();
                connection.sent = 0;
                connection.socket->connectNB(this->address);
                return;
            }
            char byte = 0;
            if (connection.socket->poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)
                && connection.socket->receiveBytes(&byte, 1) == 0) {
                connection.socket.reset();
            } else if (sends && connection.sent < request.size()
                       && connection.socket->poll(Poco::Timespan(0),
                                                  Poco::Net::Socket::SELECT_WRITE)) {
                connection.socket->sendBytes(request.data() + connection.sent, 1);
                ++connection.sent;
            }
        } catch (const Poco::Exception &) {
            connection.socket.reset();
        }
    }

    inline static const std::string request = "GET /one/x HTTP/1.1\r\nA: " + std::string(4000, 'a');

    Poco::Net::SocketAddress address;
    std::vector<Connection> connections;
    std::atomic<bool> stopping = false;
    std::atomic<int> rounds = 0;
    std::thread thread;
};

} // namespace lagoondeck::untrustedtest
