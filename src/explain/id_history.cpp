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

/// Log fields that hold an id as text; `window` holds a number.
constexpr std::array id_fields = {"request", "sample", "job", "upstream", "host"};

bool names_id(json const& line, std::string const& id)
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

std::string field_text(json const& line, char const* name)
{
    auto const it = line.find(name);
    if (it == line.end())
    {
        return "";
    }
    return it->is_string() ? it->get<std::string>() : it->dump();
}

/// Log event that records an outcome, and the fields that explain it.
struct final_event
{
    std::string_view event;
    std::string_view description;
    std::array<char const*, 3> fields;
};

constexpr std::array final_events = {
    final_event{"request_ended", "the request ended", {"outcome", "status", "upstream"}},
    final_event{
        "answered_with_error", "it was answered with an error", {"status", "code_name", "reason"}},
    final_event{"caller_gone", "the caller closed its connection", {}},
    final_event{"sample_listed", "the sample was listed", {"done", "events", "late_us"}},
    final_event{"sample_given_up", "the sample was abandoned", {"reason", "upstream", "events"}},
    final_event{
        "run_broken", "its last run ended before completion", {"reason", "upstream", "events"}},
    final_event{"run_refused", "its last run was refused", {"status", "upstream", "reason"}},
    final_event{"reward_failed", "its reward call failed", {"status", "failures", "reason"}},
    final_event{"job_not_stored", "the job could not be stored", {"code_name", "reason"}},
    final_event{"job_ended", "the caller ended the job", {}},
    final_event{"usage_reported", "the usage window was reported", {"outcome", "teams", "fencing"}},
    final_event{"weights_ordered",
                "the upstream was ordered to load weights",
                {"model", "version", "outcome"}},
};

std::string describe(final_event const& event, json const& line)
{
    std::string text(event.description);
    for (auto const* field : event.fields)
    {
        auto const value = field != nullptr ? field_text(line, field) : "";
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
    if (!body || !names_id(*body, history.id))
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
        auto const found = std::find_if(final_events.begin(), final_events.end(),
                                        [&](final_event const& candidate)
                                        { return candidate.event == line->event; });
        if (found != final_events.end())
        {
            auto const body = base::parse_object(line->text.substr(line->text.find('{')));
            return fmt::format("{}: {} ({} log lines, this event at {} us).", history.id,
                               describe(*found, *body), history.lines.size(), line->time_us);
        }
    }
    return history.lines.empty() ? fmt::format("{}: no log line names this id.", history.id)
                                 : fmt::format("{}: {} log lines, none of them records an outcome.",
                                               history.id, history.lines.size());
}

} // namespace gooseberrywood::explain
