#include "standins/base64.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <iterator>
#include <sstream>

namespace lagoondeck {

std::string encodeBase64(const std::string &bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

std::string decodeBase64(const std::string &text)
{
    std::istringstream input(text);
    Poco::Base64Decoder decoder(input);
    return {std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>()};
}

} // namespace lagoondeck
