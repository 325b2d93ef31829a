#include "core/address.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <netinet/in.h>

namespace lagoondeck {

namespace {

constexpr unsigned maxPort = 65535;

bool isIpAddress(const std::string &host, int family)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes {};
    return ::inet_pton(family, host.c_str(), bytes.data()) == 1;
}

std::optional<unsigned> parsePort(std::string_view text)
{
    unsigned port = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, port);
    const bool whole = error == std::errc() && rest == end;
    return whole && port >= 1 && port <= maxPort ? std::optional(port) : std::nullopt;
}

} // namespace

bool Address::isAny() const
{
    return this->host == "0.0.0.0" || this->host == "::";
}

std::optional<Address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    const auto port = parsePort(text.substr(colon + 1));
    Address address {std::string(host), port.value_or(0)};
    // inet_pton() would ignore everything after a null byte.
    const bool hasNoNullByte = host.find('\0') == std::string_view::npos;
    const bool valid = hasNoNullByte && isIpAddress(address.host, bracketed ? AF_INET6 : AF_INET);
    return port && valid ? std::optional(std::move(address)) : std::nullopt;
}

bool addressesConflict(const Address &left, const Address &right)
{
    const bool sameHost = left.host == right.host || left.isAny() || right.isAny();
    return left.port == right.port && sameHost;
}

} // namespace lagoondeck
