#ifndef GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_TEMPORARY_FOLDER_HPP
#define GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_TEMPORARY_FOLDER_HPP

#include <stdlib.h>

#include <filesystem>
#include <stdexcept>
#include <string>

namespace gooseberrywood::test
{

/// A new folder that is removed with its content at the end of the test.
struct temporary_folder
{
    std::filesystem::path path;

    temporary_folder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "gooseberrywood-XXXXXX").string();
        if (mkdtemp(pattern.data()) == nullptr)
        {
            throw std::runtime_error("can't make a temporary folder");
        }
        path = pattern;
    }
    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
};

} // namespace gooseberrywood::test

#endif
