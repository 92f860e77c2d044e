#include "rollout/crash_mark_entry.hpp"

#include "rollout/store_keys.hpp"

#include <fmt/format.h>

#include <charconv>
#include <string_view>

namespace gooseberrywood::rollout
{

namespace
{

constexpr std::string_view standing_value = "standing";
constexpr std::string_view withdrawn_value = "withdrawn";
constexpr int hexadecimal = 16;
// Of a number of 64 bits in hexadecimal.
constexpr std::size_t digits = 16;

std::optional<std::uint64_t> read_hex(std::string_view text)
{
    std::uint64_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const [stop, failed] = std::from_chars(text.data(), end, number, hexadecimal);
    return failed == std::errc() && stop == end ? std::optional(number) : std::nullopt;
}

std::optional<fleet::crash_mark_id> read_key(std::string_view key)
{
    if (key.size() != crash_mark_prefix.size() + 2 * digits + 1 ||
        !key.starts_with(crash_mark_prefix))
    {
        return std::nullopt;
    }
    auto const fingerprint = read_hex(key.substr(crash_mark_prefix.size(), digits));
    auto const crash = read_hex(key.substr(key.size() - digits));
    return fingerprint && crash ? std::optional(fleet::crash_mark_id{*fingerprint, *crash})
                                : std::nullopt;
}

std::string_view value_of(fleet::crash_mark_state state)
{
    return state == fleet::crash_mark_state::withdrawn ? withdrawn_value : standing_value;
}

} // namespace

store::write encode_crash_notice(fleet::crash_notice const& notice, std::uint64_t lease)
{
    return {
        fmt::format("{}{:016x}/{:016x}", crash_mark_prefix, notice.id.fingerprint, notice.id.crash),
        std::string(value_of(notice.state)), lease};
}

std::optional<fleet::crash_notice> decode_crash_notice(store::item const& item)
{
    auto const id = read_key(item.key);
    bool const is_withdrawn = item.value == withdrawn_value;
    if (!id || (!is_withdrawn && item.value != standing_value))
    {
        return std::nullopt;
    }
    return fleet::crash_notice{*id, is_withdrawn ? fleet::crash_mark_state::withdrawn
                                                 : fleet::crash_mark_state::standing};
}

} // namespace gooseberrywood::rollout
