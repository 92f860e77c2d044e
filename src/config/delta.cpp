#include "config/delta.hpp"

#include "config/detail/json_fields.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace gooseberrywood::config
{

namespace
{

/// The next line with its line end; the last one may have none.
std::string_view line_at(std::string_view text, std::size_t at)
{
    auto const end = text.find('\n', at);
    return text.substr(at, end == std::string_view::npos ? end : end + 1 - at);
}

/// Bytes of whole lines that both texts start with.
std::size_t common_start(std::string_view left, std::string_view right)
{
    auto const differ = std::mismatch(left.begin(), left.end(), right.begin(), right.end());
    auto const same = static_cast<std::size_t>(differ.first - left.begin());
    auto const line_end = left.substr(0, same).rfind('\n');
    return line_end == std::string_view::npos ? 0 : line_end + 1;
}

/// Bytes of whole lines that both texts end with.
std::size_t common_end(std::string_view left, std::string_view right)
{
    auto const differ = std::mismatch(left.rbegin(), left.rend(), right.rbegin(), right.rend());
    auto const same = static_cast<std::size_t>(differ.first - left.rbegin());
    auto const tail = left.substr(left.size() - same);
    auto const line_end = tail.find('\n');
    return line_end == std::string_view::npos ? 0 : tail.size() - line_end - 1;
}

void copy(std::vector<edit>& edits, std::size_t at, std::size_t bytes)
{
    if (bytes == 0)
    {
        return;
    }
    if (!edits.empty() && edits.back().insert.empty() &&
        edits.back().copy_at + edits.back().copy_bytes == at)
    {
        edits.back().copy_bytes += bytes;
        return;
    }
    edits.push_back({at, bytes, {}});
}

void insert(std::vector<edit>& edits, std::string_view text)
{
    if (text.empty())
    {
        return;
    }
    if (edits.empty())
    {
        edits.emplace_back();
    }
    edits.back().insert += text;
}

/// Describes `now` by lines that `before` holds anywhere, so that moved blocks cost no text.
void match_lines(std::vector<edit>& edits, std::string_view before, std::size_t before_at,
                 std::string_view now)
{
    std::unordered_map<std::string_view, std::size_t> places;
    for (std::size_t at = 0; at < before.size();)
    {
        auto const line = line_at(before, at);
        places.emplace(line, at);
        at += line.size();
    }
    // Lines such as `[[team]]` occur often. The one behind the last copy prolongs that copy, and
    // the one as many lines further as were inserted continues it behind replaced lines.
    std::size_t behind_copy = 0;
    std::size_t behind_replaced = 0;
    for (std::size_t at = 0; at < now.size();)
    {
        auto const line = line_at(now, at);
        at += line.size();
        auto from = std::string_view::npos;
        if (before.substr(behind_copy, line.size()) == line)
        {
            from = behind_copy;
        }
        else if (before.substr(behind_replaced, line.size()) == line)
        {
            from = behind_replaced;
        }
        else if (auto const place = places.find(line); place != places.end())
        {
            from = place->second;
        }
        if (from == std::string_view::npos)
        {
            insert(edits, line);
            behind_replaced += line_at(before, behind_replaced).size();
            continue;
        }
        copy(edits, before_at + from, line.size());
        behind_copy = from + line.size();
        behind_replaced = behind_copy;
    }
}

base::result<std::vector<edit>> read_edits(nlohmann::json const& fields)
{
    std::vector<edit> edits;
    auto const found = fields.find("edits");
    if (found == fields.end() || !found->is_array())
    {
        return base::fail(base::result_code::bundle_invalid, "configuration delta: no edits");
    }
    for (auto const& item : *found)
    {
        if (!item.is_array() || item.size() != 3 || !item[0].is_number_unsigned() ||
            !item[1].is_number_unsigned() || !item[2].is_string())
        {
            return base::fail(base::result_code::bundle_invalid,
                              "configuration delta: an edit is malformed");
        }
        edits.push_back({item[0].get<std::uint64_t>(), item[1].get<std::uint64_t>(),
                         item[2].get<std::string>()});
    }
    return edits;
}

} // namespace

delta make_delta(record const& from, record const& to)
{
    delta made;
    made.from_version = from.version;
    made.to_version = to.version;
    made.from_hash = record_hash(from);
    made.to_hash = record_hash(to);
    made.bundle_signature = to.bundle_signature;
    made.domains_out = to.domains_out;

    std::string_view before = from.bundle_text;
    std::string_view now = to.bundle_text;
    auto const start = common_start(before, now);
    before.remove_prefix(start);
    now.remove_prefix(start);
    auto const end = common_end(before, now);
    before.remove_suffix(end);
    now.remove_suffix(end);

    copy(made.edits, 0, start);
    match_lines(made.edits, before, start, now);
    copy(made.edits, from.bundle_text.size() - end, end);
    return made;
}

base::result<record> apply(record const& from, std::uint64_t from_hash, delta const& change)
{
    if (change.from_version != from.version || change.from_hash != from_hash)
    {
        return base::fail(base::result_code::version_conflict,
                          fmt::format("a delta from version {} does not fit version {} in effect",
                                      change.from_version, from.version));
    }
    record made;
    made.version = change.to_version;
    made.bundle_signature = change.bundle_signature;
    made.domains_out = change.domains_out;
    std::string_view const old = from.bundle_text;
    for (auto const& step : change.edits)
    {
        if (step.copy_at > old.size() || step.copy_bytes > old.size() - step.copy_at ||
            made.bundle_text.size() + step.copy_bytes + step.insert.size() > max_record_bytes)
        {
            return base::fail(base::result_code::bundle_invalid,
                              "configuration delta: an edit is out of range");
        }
        made.bundle_text += old.substr(step.copy_at, step.copy_bytes);
        made.bundle_text += step.insert;
    }
    if (record_hash(made) != change.to_hash)
    {
        return base::fail(base::result_code::bundle_invalid,
                          fmt::format("the delta to version {} gives a record with another hash",
                                      change.to_version));
    }
    return made;
}

base::result<std::string> encode(delta const& from)
{
    auto edits = nlohmann::json::array();
    for (auto const& step : from.edits)
    {
        edits.push_back({step.copy_at, step.copy_bytes, step.insert});
    }
    nlohmann::json const fields = {
        {"from_version", from.from_version},  {"to_version", from.to_version},
        {"from_hash", from.from_hash},        {"to_hash", from.to_hash},
        {"signature", from.bundle_signature}, {"domains_out", from.domains_out},
        {"edits", std::move(edits)}};
    return detail::dump(fields, max_record_bytes);
}

base::result<delta> decode_delta(std::string_view text)
{
    auto const fields = detail::parse_object(text, max_record_bytes);
    if (!fields)
    {
        return tl::unexpected(fields.error());
    }
    delta made;
    if (!detail::read(*fields, "from_version", made.from_version) ||
        !detail::read(*fields, "to_version", made.to_version) ||
        !detail::read(*fields, "from_hash", made.from_hash) ||
        !detail::read(*fields, "to_hash", made.to_hash) ||
        !detail::read(*fields, "signature", made.bundle_signature) ||
        !detail::read(*fields, "domains_out", made.domains_out, max_domains_out))
    {
        return base::fail(base::result_code::bundle_invalid,
                          "configuration delta: a field is missing or has the wrong type");
    }
    auto edits = read_edits(*fields);
    if (!edits)
    {
        return tl::unexpected(edits.error());
    }
    made.edits = std::move(*edits);
    return made;
}

base::result<std::variant<record, delta>> decode_update(std::string_view text)
{
    // A delta's first key in the sorted JSON is "domains_out" as in a record, so both are tried;
    // the second try costs a parse only for whole records, which are rare.
    if (auto change = decode_delta(text))
    {
        return std::variant<record, delta>(std::move(*change));
    }
    auto whole = decode_record(text);
    if (!whole)
    {
        return tl::unexpected(whole.error());
    }
    return std::variant<record, delta>(std::move(*whole));
}

} // namespace gooseberrywood::config
