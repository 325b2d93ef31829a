#pragma once

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace lagoondeck::untrustedtest {

/// One connection of a crowd. All calls return when the crowd is stopped.
class CrowdCaller
{
public:
    CrowdCaller(const std::string &address, const std::atomic<bool> &stopping) : stopping(stopping)
    {
        try {
            // A small buffer, so that an answer that is not read stays with the daemon.
            this->socket.init(AF_INET);
            this->socket.setReceiveBufferSize(receiveBufferBytes);
            this->socket.connect(Poco::Net::SocketAddress(address), Poco::Timespan(10, 0));
            this->socket.setSendTimeout(Poco::Timespan(0, waitMicroseconds));
            this->socket.setReceiveTimeout(Poco::Timespan(0, waitMicroseconds));
        } catch (const Poco::Exception &) {
            this->ended = true;
        }
    }

    /// Sends all bytes. Returns false if the connection has ended.
    bool send(std::string_view bytes)
    {
        while (!bytes.empty() && this->isActive()) {
            try {
                const int count =
                        this->socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
                bytes.remove_prefix(static_cast<std::size_t>(count > 0 ? count : 0));
            } catch (const Poco::TimeoutException &) {
                // The daemon reads no more for the moment.
            } catch (const Poco::Exception &) {
                this->ended = true;
            }
        }
        return bytes.empty();
    }

    /// Sends the text again and again until so many bytes were sent or the connection has ended.
    void sendRepeated(std::string_view text, std::size_t bytes)
    {
        std::string block;
        while (block.size() < 16 * 1024) {
            block += text;
        }
        for (std::size_t sent = 0; sent < bytes && this->send(block); sent += block.size()) { }
    }

    /// Waits for some bytes of an answer, or for the end of the connection, and returns how many
    /// bytes were read; zero at the end.
    std::size_t receive(std::size_t mostBytes)
    {
        std::array<char, receiveBufferBytes> buffer {};
        while (this->isActive()) {
            try {
                const int count = this->socket.receiveBytes(
                        buffer.data(), static_cast<int>(std::min(mostBytes, buffer.size())));
                this->ended = count <= 0;
                return static_cast<std::size_t>(count > 0 ? count : 0);
            } catch (const Poco::TimeoutException &) {
                // Nothing has arrived.
            } catch (const Poco::Exception &) {
                this->ended = true;
            }
        }
        return 0;
    }

    bool isActive() const { return !this->ended && !this->stopping; }

private:
    static constexpr int receiveBufferBytes = 8 * 1024;
    static constexpr int waitMicroseconds = 50'000;

    const std::atomic<bool> &stopping;
    Poco::Net::StreamSocket socket;
    bool ended = false;
};

/// Callers that each put a load on the daemon and then keep their connections.
class Crowd
{
public:
    using Step = std::function<void(CrowdCaller &)>;

    /// `load` is what each caller does first, `hold` what it does then until the crowd is stopped.
    Crowd(
            std::string address, Step load, Step hold = [](CrowdCaller &) {})
        : address(std::move(address)), load(std::move(load)), hold(std::move(hold))
    { }

    ~Crowd()
    {
        this->stopping = true;
        for (std::thread &caller : this->callers) {
            caller.join();
        }
    }

    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    void add(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->callers.emplace_back([this] { this->run(); });
        }
    }

    /// Waits until all callers have done the first step, at most for the given time.
    void waitUntilLoaded(std::chrono::milliseconds limit) const
    {
        const auto until = std::chrono::steady_clock::now() + limit;
        while (this->loaded < this->callers.size() && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

private:
    void run()
    {
        CrowdCaller caller(this->address, this->stopping);
        this->load(caller);
        ++this->loaded;
        this->hold(caller);
        while (!this->stopping) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    std::string address;
    Step load;
    Step hold;
    std::atomic<bool> stopping = false;
    std::atomic<std::size_t> loaded = 0;
    std::vector<std::thread> callers;
};

} // namespace lagoondeck::untrustedtest
