#include "config/detail/json_fields.hpp"

#include <fmt/format.h>

namespace gooseberrywood::config::detail
{

namespace
{

// Records and deltas have at most an array of arrays inside the object. The limit keeps a hostile
// text of opening brackets from building a deep tree.
constexpr int max_depth = 4;

} // namespace

base::result<std::string> dump(nlohmann::json const& from, std::size_t max_bytes)
{
    std::string text;
    try
    {
        text = from.dump();
    }
    catch (nlohmann::json::exception const&)
    {
        return base::fail(base::result_code::bundle_invalid,
                          "configuration: the text is not valid UTF-8");
    }
    if (text.size() > max_bytes)
    {
        return base::fail(base::result_code::bundle_invalid,
                          fmt::format("configuration: {} bytes are above the limit of {}",
                                      text.size(), max_bytes));
    }
    return text;
}

base::result<nlohmann::json> parse_object(std::string_view text, std::size_t max_bytes)
{
    if (text.size() > max_bytes)
    {
        return base::fail(base::result_code::bundle_invalid,
                          fmt::format("configuration: {} bytes are above the limit of {}",
                                      text.size(), max_bytes));
    }
    bool too_deep = false;
    auto const bounded =
        [&too_deep](int depth, nlohmann::json::parse_event_t event, nlohmann::json const&)
    {
        using event_type = nlohmann::json::parse_event_t;
        bool const opens = event == event_type::object_start || event == event_type::array_start;
        too_deep = too_deep || (opens && depth >= max_depth);
        return !too_deep;
    };
    auto parsed = nlohmann::json::parse(text, bounded, false);
    if (too_deep || parsed.is_discarded() || !parsed.is_object())
    {
        return base::fail(base::result_code::bundle_invalid,
                          "configuration: the text is not a JSON object of the expected form");
    }
    return parsed;
}

bool read(nlohmann::json const& from, char const* name, std::uint64_t& into)
{
    auto const found = from.find(name);
    if (found == from.end() || !found->is_number_unsigned())
    {
        return false;
    }
    into = found->get<std::uint64_t>();
    return true;
}

bool read(nlohmann::json const& from, char const* name, std::string& into)
{
    auto const found = from.find(name);
    if (found == from.end() || !found->is_string())
    {
        return false;
    }
    into = found->get_ref<std::string const&>();
    return true;
}

bool read(nlohmann::json const& from, char const* name, std::vector<std::string>& into,
          std::size_t max_items)
{
    auto const found = from.find(name);
    if (found == from.end() || !found->is_array() || found->size() > max_items)
    {
        return false;
    }
    into.clear();
    for (auto const& item : *found)
    {
        if (!item.is_string())
        {
            return false;
        }
        into.push_back(item.get_ref<std::string const&>());
    }
    return true;
}

} // namespace gooseberrywood::config::detail
