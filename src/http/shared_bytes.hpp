#ifndef GOOSEBERRYWOOD_HTTP_SHARED_BYTES_HPP
#define GOOSEBERRYWOOD_HTTP_SHARED_BYTES_HPP

#include <glib.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Immutable bytes that several owners hold without copies; null for none.
using shared_bytes = std::shared_ptr<GBytes>;

/// \ingroup http
/// \brief Takes over one reference.
[[nodiscard]] inline shared_bytes adopt_bytes(GBytes* bytes)
{
    return {bytes, g_bytes_unref};
}

/// \ingroup http
/// \brief Copies bytes.
[[nodiscard]] inline shared_bytes copy_bytes(std::string_view bytes)
{
    return adopt_bytes(g_bytes_new(bytes.data(), bytes.size()));
}

/// \ingroup http
/// \brief Takes over a string without a copy of its bytes.
[[nodiscard]] inline shared_bytes adopt_string(std::string&& bytes)
{
    auto* const held = new std::string(std::move(bytes));
    return adopt_bytes(g_bytes_new_with_free_func(
        held->data(), held->size(), [](gpointer owned) { delete static_cast<std::string*>(owned); },
        held));
}

/// \ingroup http
/// \brief View of the bytes; empty for null.
[[nodiscard]] inline std::string_view view_of(shared_bytes const& bytes)
{
    gsize size = 0;
    auto const* const data =
        bytes ? static_cast<char const*>(g_bytes_get_data(bytes.get(), &size)) : nullptr;
    return data != nullptr ? std::string_view(data, size) : std::string_view();
}

} // namespace gooseberrywood::http

#endif
