#include "core/value_compression.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <array>
#include <sstream>

namespace lagoondeck {

std::string compress(const std::string &bytes)
{
    std::ostringstream out;
    Poco::DeflatingOutputStream deflater(out, Poco::DeflatingStreamBuf::STREAM_ZLIB);
    deflater << bytes;
    deflater.close();
    return out.str();
}

std::optional<std::string> decompress(const std::string &compressed, std::size_t maxBytes)
{
    std::istringstream in(compressed);
    Poco::InflatingInputStream inflater(in, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string bytes;
    std::array<char, 16 * 1024> buffer {};
    while (inflater.good()) {
        inflater.read(buffer.data(), buffer.size());
        bytes.append(buffer.data(), static_cast<std::size_t>(inflater.gcount()));
        if (bytes.size() > maxBytes) {
            return std::nullopt;
        }
    }
    return inflater.bad() || bytes.empty() ? std::nullopt : std::optional(std::move(bytes));
}

} // namespace lagoondeck
