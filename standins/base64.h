#pragma once

#include <string>

namespace lagoondeck {

std::string encodeBase64(const std::string &bytes);

/// Decodes the output of encodeBase64. Stops at the first character outside the alphabet.
std::string decodeBase64(const std::string &text);

} // namespace lagoondeck
