#include "core/http_message.h"

#include <strings.h>

#include <algorithm>

namespace lagoondeck {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::optional<std::string_view> findField(const HeaderFields &fields, std::string_view name)
{
    const auto found = std::ranges::find_if(
            fields, [&](const auto &field) { return equalsIgnoringCase(field.first, name); });
    return found == fields.end() ? std::nullopt : std::optional<std::string_view>(found->second);
}

} // namespace lagoondeck
