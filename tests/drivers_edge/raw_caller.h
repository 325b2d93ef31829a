#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <chrono>
#include <cstdlib>
#include <string>
#include <thread>

namespace lagoondeck::edgetest {

/// What a caller saw of one request.
struct CallerView
{
    std::string id;
    /// True if the whole request was sent.
    bool sent = false;
    /// The status of a complete answer; 0 if the connection ended without one.
    int status = 0;
    /// True if the answer announces that the connection is closed.
    bool closes = false;
    /// When the answer or the end of the connection was noticed.
    std::chrono::steady_clock::time_point endedAt;
    std::string head;
};

/// A caller that sends requests over one connection and notices how it ends.
class RawCaller
{
public:
    /// A caller that reads slowly takes 64 KiB in 10 ms at most.
    explicit RawCaller(const std::string &address, bool isSlow = false) : isSlow(isSlow)
    {
        try {
            if (isSlow) {
                this->socket.init(AF_INET);
                this->socket.setReceiveBufferSize(bufferBytes);
            }
            this->socket.connect(Poco::Net::SocketAddress(address));
            this->socket.setReceiveTimeout(Poco::Timespan(10, 0));
            this->connected = true;
        } catch (const Poco::Exception &) {
            // Refused; isConnected() tells.
        }
    }

    bool isConnected() const { return this->connected; }

    bool send(const std::string &bytes)
    {
        try {
            this->socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
            return true;
        } catch (const Poco::Exception &) {
            this->connected = false;
            return false;
        }
    }

    /// Sends a request and waits for its answer or the end of the connection.
    CallerView call(const std::string &path, const std::string &id)
    {
        CallerView view {id};
        view.sent = this->send("GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
                               + "\r\nDeadline-Ms: 6000\r\n\r\n");
        if (view.sent) {
            this->receive(view);
        }
        view.endedAt = std::chrono::steady_clock::now();
        return view;
    }

    /// Reads one answer.
    void receive(CallerView &view)
    {
        while (true) {
            const std::size_t headEnd = this->input.find("\r\n\r\n");
            if (headEnd != std::string::npos) {
                const std::size_t size = bodySize(this->input.substr(0, headEnd));
                if (this->input.size() >= headEnd + 4 + size) {
                    view.head = this->input.substr(0, headEnd);
                    view.status = std::atoi(view.head.c_str() + 9);
                    view.closes = view.head.find("Connection: close") != std::string::npos;
                    this->input.erase(0, headEnd + 4 + size);
                    this->connected = !view.closes;
                    return;
                }
            }
            if (!this->readMore()) {
                this->connected = false;
                return;
            }
        }
    }

private:
    static constexpr int bufferBytes = 64 * 1024;

    static std::size_t bodySize(const std::string &head)
    {
        const std::size_t at = head.find("Content-Length: ");
        return at == std::string::npos ? 0 : std::strtoul(head.c_str() + at + 16, nullptr, 10);
    }

    bool readMore()
    {
        if (this->isSlow) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        std::array<char, bufferBytes> buffer {};
        try {
            const int count = this->socket.receiveBytes(buffer.data(), bufferBytes);
            if (count > 0) {
                this->input.append(buffer.data(), static_cast<std::size_t>(count));
            }
            return count > 0;
        } catch (const Poco::Exception &) {
            return false;
        }
    }

    bool isSlow;
    Poco::Net::StreamSocket socket;
    std::string input;
    bool connected = false;
};

} // namespace lagoondeck::edgetest
