#include "operator/entry_input.h"

#include "core/catalogue_codec.h"
#include "core/errors.h"
#include "core/json_input.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <iostream>
#include <iterator>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

/// The entries read so far and the problems found in them.
struct EntryReadResult
{
    std::vector<CatalogueEntry> entries;
    std::vector<FieldProblem> problems;
};

leaf::result<nlohmann::json> readJsonInput(const std::string &path)
{
    if (path != "-") {
        return readJsonFile(path);
    }
    const std::string text {std::istreambuf_iterator<char>(std::cin),
                            std::istreambuf_iterator<char>()};
    return parseJson(text);
}

void addEntry(const nlohmann::json &json, const std::string &where, EntryReadResult &result)
{
    leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(entry, parseCatalogueEntry(json.dump()));
                const bool isDuplicate =
                        std::ranges::any_of(result.entries, [&](const CatalogueEntry &other) {
                            return other.name == entry.name;
                        });
                if (isDuplicate) {
                    result.problems.push_back({where + "name", FieldProblemKind::Conflict,
                                               "the entry is given twice"});
                }
                result.entries.push_back(std::move(entry));
                return {};
            },
            [&](const InvalidInput &input) {
                for (const FieldProblem &problem : input.problems) {
                    result.problems.push_back({where + problem.path, problem.kind, problem.detail});
                }
            },
            [&](const MalformedInput &input) {
                result.problems.push_back({where, FieldProblemKind::BadFormat, input.detail});
            },
            [&] {
                result.problems.push_back({where, FieldProblemKind::BadFormat, "unreadable"});
            });
}

} // namespace

leaf::result<std::vector<CatalogueEntry>> readEntryFiles(const std::vector<std::string> &paths)
{
    EntryReadResult result;
    for (const std::string &path : paths) {
        BOOST_LEAF_AUTO(json, readJsonInput(path));
        if (!json.is_array()) {
            addEntry(json, path + ": ", result);
            continue;
        }
        for (std::size_t i = 0; i < json.size(); ++i) {
            addEntry(json[i], path + ": [" + std::to_string(i) + "].", result);
        }
    }
    if (result.entries.empty() && result.problems.empty()) {
        result.problems.push_back({"", FieldProblemKind::Missing, "no entry is given"});
    }
    if (!result.problems.empty()) {
        return leaf::new_error(InvalidInput {std::move(result.problems)});
    }
    return std::move(result.entries);
}

} // namespace lagoondeck
