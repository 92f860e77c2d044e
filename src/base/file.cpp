#include "base/file.hpp"

#include "base/glib_ptr.hpp"

#include <fmt/format.h>
#include <gio/gio.h>

namespace gooseberrywood::base
{

namespace
{

error to_error(std::string_view action, std::string const& path, GError* failure)
{
    glib_error_ptr const owned(failure);
    return {result_code::io_error, fmt::format("can't {} {}: {}", action, path, owned->message)};
}

} // namespace

result<std::string> read_file(std::string const& path)
{
    gchar* content = nullptr;
    gsize length = 0;
    GError* failure = nullptr;
    if (g_file_get_contents(path.c_str(), &content, &length, &failure) == FALSE)
    {
        bool const absent = g_error_matches(failure, G_FILE_ERROR, G_FILE_ERROR_NOENT) != FALSE;
        auto error = to_error("read", path, failure);
        error.code = absent ? result_code::not_found : result_code::io_error;
        return tl::unexpected(std::move(error));
    }
    std::unique_ptr<gchar, glib_free> const owned(content);
    return std::string(content, length);
}

std::optional<error> replace_file(std::string const& path, std::string_view content)
{
    constexpr int mode = 0666; // reduced by the umask
    constexpr auto flags = static_cast<GFileSetContentsFlags>(G_FILE_SET_CONTENTS_CONSISTENT |
                                                              G_FILE_SET_CONTENTS_DURABLE);
    GError* failure = nullptr;
    if (g_file_set_contents_full(path.c_str(), content.data(), static_cast<gssize>(content.size()),
                                 flags, mode, &failure) == FALSE)
    {
        return to_error("write", path, failure);
    }
    return std::nullopt;
}

std::optional<error> create_private_file(std::string const& path, std::string_view content)
{
    GError* failure = nullptr;
    object_ptr<GFile> const file(g_file_new_for_path(path.c_str()));
    object_ptr<GFileOutputStream> const stream(
        g_file_create(file.get(), G_FILE_CREATE_PRIVATE, nullptr, &failure));
    if (stream == nullptr)
    {
        return to_error("create", path, failure);
    }
    if (g_output_stream_write_all(G_OUTPUT_STREAM(stream.get()), content.data(), content.size(),
                                  nullptr, nullptr, &failure) == FALSE ||
        g_output_stream_close(G_OUTPUT_STREAM(stream.get()), nullptr, &failure) == FALSE)
    {
        return to_error("write", path, failure);
    }
    return std::nullopt;
}

} // namespace gooseberrywood::base
