#include "core/json_input.h"

#include "core/errors.h"

#include <boost/leaf/error.hpp>
#include <fstream>
#include <iterator>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

/// Deeper nesting is refused, so that a hostile input can't exhaust the stack.
constexpr int maximumDepth = 64;

bool tooDeep(std::string_view text)
{
    int depth = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (quoted) {
            if (text[i] == '\\') {
                ++i;
            } else if (text[i] == '"') {
                quoted = false;
            }
            continue;
        }
        quoted = text[i] == '"';
        depth += text[i] == '[' || text[i] == '{' ? 1 : 0;
        depth -= text[i] == ']' || text[i] == '}' ? 1 : 0;
        if (depth > maximumDepth) {
            return true;
        }
    }
    return false;
}

} // namespace

leaf::result<nlohmann::json> parseJson(std::string_view text)
{
    if (tooDeep(text)) {
        return leaf::new_error(MalformedInput {"nested too deep", 0});
    }
    try {
        return nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::parse_error &error) {
        return leaf::new_error(MalformedInput {error.what(), error.byte});
    }
}

leaf::result<nlohmann::json> readJsonFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return leaf::new_error(FileUnreadable {path});
    }
    const std::string text {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    return parseJson(text);
}

} // namespace lagoondeck
