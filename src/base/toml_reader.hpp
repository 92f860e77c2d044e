#ifndef GOOSEBERRYWOOD_BASE_TOML_READER_HPP
#define GOOSEBERRYWOOD_BASE_TOML_READER_HPP

#include "base/result.hpp"
#include "base/time.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief The faults found in one TOML file.
struct toml_faults
{
    struct fault
    {
        std::uint32_t line = 0;
        std::string text;
    };

    std::string file;
    std::vector<fault> found;
};

/// \ingroup base
/// \brief Whether a key may be left out.
enum class presence : std::uint8_t
{
    optional,
    required,
};

/// \ingroup base
/// \brief Reads the keys of one TOML table and remembers which it was asked for.
///
/// A `read` function leaves its target alone when the key is absent or faulty; a fault is noted and
/// reading goes on, so that one pass finds them all.
struct toml_reader
{
    toml::table const* table = nullptr;
    /// Path of the table in messages, empty or ending with a dot, for example `teams[1].`.
    std::string path;
    toml_faults* faults = nullptr;
    std::set<std::string, std::less<>> known;
};

/// \brief Notes a fault.
/// \param line 1-based; 0 counts as the first line.
/// \param key full path of the key.
void add_fault(toml_faults& faults, std::uint32_t line, std::string_view key,
               std::string_view what);

/// \brief Line of a key, or of the table when it lacks the key.
[[nodiscard]] std::uint32_t line_of(toml_reader const& from, std::string_view key);

/// \brief Notes a fault at a key of the table, or at the table when it lacks the key.
void add_fault(toml_reader const& from, std::string_view key, std::string_view what);

/// \brief Turns the faults into one error with one line each, ordered by line.
/// \param code code of the error; `faults.found` must not be empty.
[[nodiscard]] error to_error(toml_faults faults, result_code code);

/// \brief Parses TOML.
/// \returns nothing after noting the fault when the text is not TOML or nests too deeply.
[[nodiscard]] std::optional<toml::table> parse_toml(std::string_view text, toml_faults& faults);

/// \brief Whether the table has a key.
[[nodiscard]] bool has(toml_reader const& from, std::string_view key);

/// \brief Reads a string that is not empty.
void read(toml_reader& from, std::string_view key, std::string& into,
          presence needed = presence::optional);

/// \brief Reads a boolean.
void read(toml_reader& from, std::string_view key, bool& into,
          presence needed = presence::optional);

/// \brief Reads an array of strings that are not empty.
void read(toml_reader& from, std::string_view key, std::vector<std::string>& into,
          presence needed = presence::optional);

/// \brief Reads a time in seconds: an integer, or a string with up to six decimals such as
/// `"0.25"`.
/// \param least, most range, both included.
void read_seconds(toml_reader& from, std::string_view key, duration least, duration most,
                  duration& into, presence needed = presence::optional);

/// \brief Reads a number, whole or with decimals, of a range, both ends included.
void read_decimal(toml_reader& from, std::string_view key, double least, double most, double& into,
                  presence needed = presence::optional);

/// \brief Reads an integer of a range, both ends included.
void read_integer(toml_reader& from, std::string_view key, std::int64_t least, std::int64_t most,
                  std::int64_t& into, presence needed = presence::optional);

/// \brief Reads an unsigned integer of a range, both ends included.
template <std::unsigned_integral T>
void read_number(toml_reader& from, std::string_view key, T least, T most, T& into,
                 presence needed = presence::optional)
{
    // TOML integers are signed.
    auto const clamp = [](std::uint64_t value)
    {
        constexpr std::uint64_t most_signed = std::numeric_limits<std::int64_t>::max();
        return static_cast<std::int64_t>(std::min(value, most_signed));
    };
    auto number = clamp(into);
    read_integer(from, key, clamp(least), clamp(most), number, needed);
    into = static_cast<T>(number);
}

/// \brief Calls a function with a reader of each table of an array of tables, such as `[[teams]]`.
/// Keys that the function did not ask for are faults.
void read_tables(toml_reader& from, std::string_view key,
                 std::function<void(toml_reader&)> const& read_one);

/// \brief Notes a fault for each key that was not asked for.
void check_unknown_keys(toml_reader const& from);

/// \brief Reports strings that occur twice in an array.
void check_distinct(toml_reader const& from, std::string_view key,
                    std::span<std::string const> values);

/// \brief Whether a text can name a host, domain, team, route, upstream or trainer: 1 to 64
/// letters, digits, dots, hyphens and underscores, so that it needs no escaping in logs, metrics
/// and paths.
[[nodiscard]] bool is_name(std::string_view text);

/// \brief Whether a text is a number of lower-case hexadecimal digits.
[[nodiscard]] bool is_hex(std::string_view text, std::size_t digits);

/// \brief Reads a string and notes a fault unless it is a name.
void read_name(toml_reader& from, std::string_view key, std::string& into,
               presence needed = presence::optional);

} // namespace gooseberrywood::base

#endif
