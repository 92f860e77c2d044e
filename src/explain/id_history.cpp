#include "explain/id_history.hpp"

#include "base/json_fields.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace gooseberrywood::explain
{

namespace
{

using nlohmann::json;

/// Fields of log lines that hold an id.
constexpr std::array id_fields = {"request", "sample", "job", "upstream", "host"};

bool is_about(json const& line, std::string const& id)
{
    if (auto const window = base::read_unsigned(line, "window"))
    {
        if (std::to_string(*window) == id)
        {
            return true;
        }
    }
    return std::any_of(id_fields.begin(), id_fields.end(),
                       [&](char const* name) { return base::read_text(line, name) == id; });
}

std::string shown(json const& line, char const* name)
{
    auto const at = line.find(name);
    if (at == line.end())
    {
        return "";
    }
    return at->is_string() ? at->get<std::string>() : at->dump();
}

/// Events that end something, with the fields that decided it.
struct ending
{
    std::string_view event;
    std::string_view words;
    std::array<char const*, 3> fields;
};

constexpr std::array endings = {
    ending{"request_ended", "the request ended", {"outcome", "status", "upstream"}},
    ending{
        "answered_with_error", "it was answered with an error", {"status", "code_name", "reason"}},
    ending{"caller_gone", "the caller closed its connection", {}},
    ending{"sample_listed", "the sample was listed", {"done", "events", "late_us"}},
    ending{"sample_given_up", "the sample was given up", {"reason", "upstream", "events"}},
    ending{"run_broken", "its last run broke", {"reason", "upstream", "events"}},
    ending{"run_refused", "its last run was refused", {"status", "upstream", "reason"}},
    ending{"reward_failed", "its reward call failed", {"status", "failures", "reason"}},
    ending{"job_not_stored", "the job could not be stored", {"code_name", "reason"}},
    ending{"job_ended", "the caller ended the job", {}},
    ending{"usage_reported", "the window was reported", {"outcome", "teams", "fencing"}},
    ending{"weights_ordered",
           "the upstream was ordered to load weights",
           {"model", "version", "outcome"}},
};

std::string sentence(ending const& how, json const& line)
{
    std::string text(how.words);
    for (auto const* field : how.fields)
    {
        auto const value = field != nullptr ? shown(line, field) : "";
        if (!value.empty())
        {
            text += fmt::format(", {} {}", field, value);
        }
    }
    return text;
}

} // namespace

void add_line(id_history& history, std::string_view line)
{
    auto const start = line.find('{');
    auto const body =
        start != std::string_view::npos ? base::parse_object(line.substr(start)) : std::nullopt;
    if (!body || !is_about(*body, history.id))
    {
        return;
    }
    history.lines.push_back(
        {static_cast<std::int64_t>(base::read_unsigned(*body, "time_us").value_or(0)),
         base::read_text(*body, "event").value_or(""), std::string(line)});
}

void sort_lines(id_history& history)
{
    std::stable_sort(history.lines.begin(), history.lines.end(),
                     [](history_line const& a, history_line const& b)
                     { return a.time_us < b.time_us; });
}

std::string summary(id_history const& history)
{
    for (auto line = history.lines.rbegin(); line != history.lines.rend(); ++line)
    {
        auto const how = std::find_if(endings.begin(), endings.end(),
                                      [&](ending const& one) { return one.event == line->event; });
        if (how != endings.end())
        {
            auto const body = base::parse_object(line->text.substr(line->text.find('{')));
            return fmt::format("{}: {} ({} lines, the last one at {} us).", history.id,
                               sentence(*how, *body), history.lines.size(), line->time_us);
        }
    }
    return history.lines.empty() ? fmt::format("{}: no line names it.", history.id)
                                 : fmt::format("{}: {} lines, none of which tells how it ended.",
                                               history.id, history.lines.size());
}

} // namespace gooseberrywood::explain
