#ifndef GOOSEBERRYWOOD_TEST_TEST_FILES_HPP
#define GOOSEBERRYWOOD_TEST_TEST_FILES_HPP

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>

namespace gooseberrywood::test
{

/// A file of the repository, for tests that compare pages and examples with the code. The
/// repository is the first folder above the test program with a design page; __FILE__ is relative
/// to the build folder and thus depends on where the program is started.
inline std::string source_path(std::string_view relative)
{
    auto root = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    while (root.has_relative_path() && !std::filesystem::exists(root / "docs" / "design.md"))
    {
        root = root.parent_path();
    }
    return (root / relative).string();
}

/// A temporary folder that is removed with its files.
struct folder
{
    std::filesystem::path root;

    folder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "gooseberrywood-XXXXXX").string();
        root = mkdtemp(pattern.data());
    }
    folder(folder const&) = delete;
    folder& operator=(folder const&) = delete;
    ~folder()
    {
        std::filesystem::remove_all(root);
    }

    std::string path(std::string_view name) const
    {
        return (root / name).string();
    }

    std::string file(std::string_view name, std::string_view content) const
    {
        std::ofstream(root / name, std::ios::binary) << content;
        return path(name);
    }
};

} // namespace gooseberrywood::test

#endif
