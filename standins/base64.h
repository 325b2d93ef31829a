#pragma once

#include <string>

namespace lagoondeck {

std::string encodeBase64(const std::string &bytes);

/// Decodes what encodeBase64 writes; characters outside the alphabet end the text.
std::string decodeBase64(const std::string &text);

} // namespace lagoondeck
