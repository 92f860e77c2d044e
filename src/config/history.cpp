#include "config/history.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::config
{

void changed(history& of, record const& from, record const& to)
{
    auto content = encode(make_delta(from, to));
    // A gap would make the older steps useless.
    bool const gap = !of.steps.empty() && of.steps.back().to_version != from.version;
    if (gap || !content || content->size() > max_history_bytes)
    {
        of = {};
    }
    if (!content || content->size() > max_history_bytes)
    {
        return;
    }
    of.bytes += content->size();
    of.steps.push_back({from.version, to.version, std::move(*content)});
    while (of.bytes > max_history_bytes)
    {
        of.bytes -= of.steps.front().content.size();
        of.steps.pop_front();
    }
}

base::result<std::vector<std::string>> answer(history const& of, record const& current,
                                              std::uint64_t above_version)
{
    std::vector<std::string> contents;
    if (above_version >= current.version)
    {
        return contents;
    }
    auto const first =
        std::find_if(of.steps.begin(), of.steps.end(),
                     [&](auto const& at) { return at.from_version == above_version; });
    bool const reaches = first != of.steps.end() && of.steps.back().to_version == current.version;
    std::size_t bytes = 0;
    if (reaches && above_version != 0)
    {
        for (auto at = first; at != of.steps.end(); ++at)
        {
            bytes += at->content.size();
            contents.push_back(at->content);
        }
    }
    if (contents.empty() || bytes > current.bundle_text.size())
    {
        auto whole = encode(current);
        if (!whole)
        {
            return tl::unexpected(whole.error());
        }
        contents = {std::move(*whole)};
    }
    return contents;
}

} // namespace gooseberrywood::config
