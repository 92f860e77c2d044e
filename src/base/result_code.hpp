#ifndef GOOSEBERRYWOOD_BASE_RESULT_CODE_HPP
#define GOOSEBERRYWOOD_BASE_RESULT_CODE_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief Numbered outcome of an operation. Numbers are never reused; docs/result-codes.md lists
/// them.
enum class result_code : std::uint16_t
{
    ok = 0,

    // 1-99: command line and process.
    usage = 1,
    internal = 2,
    io_error = 3,
    not_found = 4,
    timeout = 5,

    // 100-199: the request was not run on any upstream.
    bad_request = 100,
    request_too_large = 101,
    unknown_route = 102,
    key_missing = 103,
    key_unknown = 104,
    key_not_allowed = 105,
    overloaded = 106,
    team_queue_full = 107,
    deadline_passed = 108,
    no_upstream = 109,
    shutting_down = 110,
    domain_out = 111,
    upstream_leaving = 112,
    crash_suspect = 113,
    duplicate_attempt = 114,
    ledger_full = 115,
    configuration_stale = 116,
    retry_budget_spent = 117,
    stream_not_resumable = 118,
    crashing_request = 119,
    request_timeout = 120,

    // 200-299: the request ran, or may have run.
    outcome_unknown = 200,
    upstream_error = 201,
    upstream_crashed = 202,
    stream_incomplete = 203,
    key_withdrawn = 204,
    canceled = 205,
    response_too_large = 206,

    // 300-399: settings and bundles.
    settings_invalid = 300,
    bundle_invalid = 301,
    signature_invalid = 302,
    version_conflict = 303,
    version_too_old = 304,
    not_in_force_everywhere = 305,

    // 400-499: connections between processes.
    frame_too_large = 400,
    frame_malformed = 401,
    protocol_mismatch = 402,
    connection_lost = 403,
    peer_silent = 404,

    // 500-599: the platform.
    store_unavailable = 500,
    store_outcome_unknown = 501,
    compare_failed = 502,
    lease_lost = 503,
    fenced = 504,
    platform_refused = 505,
};

/// \ingroup base
/// \brief What is known about a result code: one row of docs/result-codes.md.
struct result_code_info
{
    result_code code;
    std::string_view name;
    /// HTTP status of an answer that carries this code.
    std::uint16_t http_status;
    /// Exit code of a command that ends with this code.
    std::uint8_t exit_code;
    /// True when the code states that the request ran on no upstream.
    bool not_run;
    std::string_view meaning;
};

/// \brief All result codes, ascending.
[[nodiscard]] std::span<result_code_info const> result_codes();

/// \brief The row of one code.
/// \param code a code; a value outside the table yields the row of `internal`.
[[nodiscard]] result_code_info const& info(result_code code);

/// \brief The code with a number as received from another process.
/// \returns nothing when no code has this number.
[[nodiscard]] std::optional<result_code> result_code_from(std::uint16_t number);

} // namespace gooseberrywood::base

#endif
