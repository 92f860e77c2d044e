#include "base/json_fields.hpp"

#include <sodium.h>

#include <algorithm>

namespace gooseberrywood::base
{

namespace
{

/// Whether arrays and objects are nested deeper than `max_json_depth`. The answer has no meaning
/// for text that is not JSON.
bool is_too_deep(std::string_view text)
{
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size() && depth <= max_json_depth; ++i)
    {
        auto const c = text[i];
        if (in_string)
        {
            in_string = c != '"';
            i += c == '\\' ? 1 : 0;
            continue;
        }
        in_string = c == '"';
        depth += c == '[' || c == '{' ? 1 : 0;
        depth -= (c == ']' || c == '}') && depth > 0 ? 1 : 0;
    }
    return depth > max_json_depth;
}

nlohmann::json const* field(nlohmann::json const& from, char const* name)
{
    if (!from.is_object())
    {
        return nullptr;
    }
    auto const at = from.find(name);
    return at != from.end() ? &*at : nullptr;
}

} // namespace

std::optional<nlohmann::json> parse_object(std::string_view text)
{
    if (is_too_deep(text))
    {
        return std::nullopt;
    }
    auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object())
    {
        return std::nullopt;
    }
    return parsed;
}

std::size_t max_json_values(std::string_view text)
{
    // Each value but the first follows one of these; inside of strings they count as well.
    auto const separators =
        std::count_if(text.begin(), text.end(),
                      [](char c) { return c == ',' || c == ':' || c == '[' || c == '{'; });
    return static_cast<std::size_t>(separators) + 1;
}

std::optional<std::string> read_text(nlohmann::json const& from, char const* name)
{
    auto const* const found = field(from, name);
    return found != nullptr && found->is_string() ? std::optional(found->get<std::string>())
                                                  : std::nullopt;
}

std::optional<std::uint64_t> read_unsigned(nlohmann::json const& from, char const* name,
                                           std::uint64_t max)
{
    auto const* const found = field(from, name);
    if (found == nullptr || !found->is_number_unsigned())
    {
        return std::nullopt;
    }
    auto const value = found->get<std::uint64_t>();
    return value <= max ? std::optional(value) : std::nullopt;
}

std::optional<double> read_number(nlohmann::json const& from, char const* name)
{
    auto const* const found = field(from, name);
    return found != nullptr && found->is_number() ? std::optional(found->get<double>())
                                                  : std::nullopt;
}

std::optional<bool> read_flag(nlohmann::json const& from, char const* name)
{
    auto const* const found = field(from, name);
    return found != nullptr && found->is_boolean() ? std::optional(found->get<bool>())
                                                   : std::nullopt;
}

nlohmann::json const* read_list(nlohmann::json const& from, char const* name)
{
    auto const* const found = field(from, name);
    return found != nullptr && found->is_array() ? found : nullptr;
}

std::string to_base64(std::string_view bytes)
{
    constexpr int variant = sodium_base64_VARIANT_ORIGINAL;
    std::string text(sodium_base64_encoded_len(bytes.size(), variant), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size(), variant);
    text.pop_back(); // the terminating zero
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    std::size_t size = 0;
    int const failed =
        sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
                          text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL);
    if (failed != 0)
    {
        return std::nullopt;
    }
    bytes.resize(size);
    return bytes;
}

} // namespace gooseberrywood::base
