#pragma once

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <limits>

namespace lagoondeck {

/// Sends as many bytes as a non-blocking socket takes now. Returns how many it took; 0 if its
/// buffer is full. Throws Poco::Exception if the connection has failed.
inline std::size_t sendAvailable(Poco::Net::StreamSocket &socket, const char *bytes,
                                 std::size_t size)
{
    constexpr std::size_t maxCall = std::numeric_limits<int>::max();
    try {
        const int sent = socket.sendBytes(bytes, static_cast<int>(std::min(size, maxCall)));
        return sent > 0 ? static_cast<std::size_t>(sent) : 0;
    } catch (const Poco::Exception &error) {
        // POCO throws when the buffer is full, although it returns when there is nothing to
        // receive.
        if (error.code() != EAGAIN && error.code() != EWOULDBLOCK && error.code() != EINTR) {
            throw;
        }
        return 0;
    }
}

} // namespace lagoondeck
