#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace lagoondeck {

/// Returns the bytes in the deflate format of zlib.
std::string compress(const std::string &bytes);

/// Returns the original bytes, or nothing if the compressed ones are malformed or stand for more
/// than the given number of bytes.
std::optional<std::string> decompress(const std::string &compressed, std::size_t maxBytes);

} // namespace lagoondeck
