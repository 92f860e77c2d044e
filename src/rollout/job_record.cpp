#include "rollout/job_record.hpp"

#include "base/json_fields.hpp"

#include <limits>
#include <utility>

namespace gooseberrywood::rollout
{

namespace
{

// The end of the year 2200: points in time that are worked out from it can be represented.
constexpr std::uint64_t max_submitted_us = 7'289'654'400'000'000;
constexpr std::uint64_t max_version = std::numeric_limits<std::uint32_t>::max();

} // namespace

std::string encode(job_record const& record)
{
    nlohmann::json const body = {{"team", record.team},
                                 {"host", record.host},
                                 {"path", record.path},
                                 {"submitted_us", base::micros(record.submitted_at)},
                                 {"samples", record.samples},
                                 {"ended", record.ended},
                                 {"model", record.model},
                                 {"least_version", record.least_version},
                                 {"tokens", record.expected_tokens}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<job_record> decode_job_record(std::string id, std::string_view text)
{
    auto const body = base::parse_object(text);
    if (!body)
    {
        return std::nullopt;
    }
    auto team = base::read_text(*body, "team");
    auto host = base::read_text(*body, "host");
    auto path = base::read_text(*body, "path");
    auto const submitted_us = base::read_unsigned(*body, "submitted_us", max_submitted_us);
    auto const samples = base::read_unsigned(*body, "samples");
    auto const ended = base::read_flag(*body, "ended");
    auto model = base::read_text(*body, "model");
    auto const least_version = base::read_unsigned(*body, "least_version", max_version);
    auto const expected_tokens = base::read_unsigned(*body, "tokens");
    if (!team || !host || !path || !submitted_us || !samples || !ended || !model ||
        !least_version || !expected_tokens)
    {
        return std::nullopt;
    }
    return job_record{
        std::move(id),
        std::move(*team),
        std::move(*host),
        std::move(*path),
        base::wall_time{base::wall_clock::duration{static_cast<std::int64_t>(*submitted_us)}},
        *samples,
        *ended,
        std::move(*model),
        static_cast<std::uint32_t>(*least_version),
        *expected_tokens};
}

} // namespace gooseberrywood::rollout
