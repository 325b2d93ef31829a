#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>
#include <system_error>

namespace lagoondeck {

/// A folder that is removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern =
                (std::filesystem::temp_directory_path() / "lagoondeck-XXXXXX").string();
        if (mkdtemp(pattern.data()) == nullptr) {
            throw std::filesystem::filesystem_error(
                    "mkdtemp", pattern, std::error_code(errno, std::generic_category()));
        }
        this->path = pattern;
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->path, ignored);
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    std::filesystem::path path;
};

} // namespace lagoondeck
