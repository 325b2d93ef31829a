#pragma once

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lagoondeck {

/// A target that sends bytes without end on each connection until the other side closes it. It
/// reads no request.
class EndlessTarget
{
public:
    /// Sends the head and then the body again and again.
    EndlessTarget(std::string head, const std::string &body)
        : listener(Poco::Net::SocketAddress("127.0.0.1", 0)), head(std::move(head)),
          body(repeat(body, 64 * 1024)), thread([this] { this->accept(); })
    { }

    ~EndlessTarget()
    {
        this->stopping = true;
        this->thread.join();
        for (std::thread &connection : this->connections) {
            connection.join();
        }
    }

    EndlessTarget(const EndlessTarget &) = delete;
    EndlessTarget &operator=(const EndlessTarget &) = delete;

    std::string address() const { return this->listener.address().toString(); }
    std::uint64_t bytesSent() const { return this->sent; }
    /// Returns true if a connection was closed by the other side.
    bool wasClosed() const { return this->closed; }

private:
    static std::string repeat(const std::string &text, std::size_t bytes)
    {
        std::string all;
        while (all.size() < bytes) {
            all += text;
        }
        return all;
    }

    void accept()
    {
        while (!this->stopping) {
            if (this->listener.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ)) {
                this->connections.emplace_back(
                        [this, connection = this->listener.acceptConnection()]() mutable {
                            this->serve(connection);
                        });
            }
        }
    }

    void serve(Poco::Net::StreamSocket &connection)
    {
        connection.setSendTimeout(Poco::Timespan(0, 50'000));
        std::string next = this->head;
        while (!this->stopping) {
            try {
                const int count = connection.sendBytes(next.data(), static_cast<int>(next.size()));
                this->sent += static_cast<std::uint64_t>(std::max(count, 0));
                next = this->body;
            } catch (const Poco::TimeoutException &) {
                // The receiver reads no more for the moment.
            } catch (const Poco::Exception &) {
                this->closed = true;
                return;
            }
        }
    }

    Poco::Net::ServerSocket listener;
    std::string head;
    std::string body;
    std::atomic<bool> stopping = false;
    std::atomic<bool> closed = false;
    std::atomic<std::uint64_t> sent = 0;
    std::vector<std::thread> connections;
    std::thread thread;
};

} // namespace lagoondeck
