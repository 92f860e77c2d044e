#ifndef GOOSEBERRYWOOD_WIRE_MESSAGE_HPP
#define GOOSEBERRYWOOD_WIRE_MESSAGE_HPP

#include "base/request_id.hpp"
#include "base/result_code.hpp"
#include "base/time.hpp"
#include "store/list_changes.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gooseberrywood::wire
{

/// \ingroup wire
/// \brief Version of the protocol. Peers with another version are rejected.
inline constexpr std::uint16_t protocol_version = 1;

/// \ingroup wire
/// \brief Role of a process.
enum class peer_role : std::uint8_t
{
    entry = 0,
    agent = 1,
    operator_tool = 2,
    gateway = 3,
};

/// \ingroup wire
/// \brief An upstream that an agent serves.
struct upstream_info
{
    std::string name;
    std::string route;
};

/// \ingroup wire
/// \brief First frame that each side sends.
struct hello
{
    std::uint16_t protocol = protocol_version;
    peer_role role = peer_role::entry;
    std::string host;
    std::string domain;
    /// Random number chosen at process start. A changed number means that the process has lost its
    /// in-memory state.
    std::uint64_t incarnation = 0;
    base::wall_time started_at{};
    std::vector<upstream_info> upstreams;
};

/// \ingroup wire
/// \brief Asks an agent to run one attempt of a request.
struct start
{
    base::request_id id;
    std::uint32_t attempt = 0;
    std::string upstream;
    std::string team;
    std::string route;
    /// HTTP path and method of the request to the upstream.
    std::string path;
    std::string method;
    std::string content_type;
    bool idempotent = false;
    bool stream = false;
    base::wall_time deadline{};
    /// Estimated number of prompt and generated tokens.
    std::uint32_t cost = 0;
    std::int32_t priority = 0;
    std::string body;
    /// Number of tokens that the caller already has. The attempt continues after them.
    std::uint32_t resume_tokens = 0;
    std::string resume_text;
    std::uint64_t fingerprint = 0;
    std::vector<std::uint64_t> crash_ids;
    /// SHA-256 of the caller's key, so that the agent can end the request when the key is
    /// withdrawn.
    std::string key_hash;
};

/// \ingroup wire
/// \brief The attempt is about to be sent to the upstream. From now on it may have been executed.
struct started
{
    base::request_id id;
    std::uint32_t attempt = 0;
};

/// \ingroup wire
/// \brief Consecutive generated tokens: the engine's events of a streamed response, otherwise their
/// text.
struct chunk
{
    base::request_id id;
    std::uint32_t attempt = 0;
    std::uint32_t first_token = 0;
    std::uint32_t tokens = 0;
    std::string bytes;
};

/// \ingroup wire
/// \brief The upstream responded completely to the attempt.
struct finished
{
    base::request_id id;
    std::uint32_t attempt = 0;
    std::uint16_t status = 0;
    std::uint32_t total_tokens = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint64_t version_before = 0;
    std::uint64_t version_after = 0;
    std::string content_type;
    /// Complete body of a response that is not streamed.
    std::string body;
    std::string finish_reason;
};

/// \ingroup wire
/// \brief The attempt ended without a response from the upstream.
struct refuse
{
    base::request_id id;
    std::uint32_t attempt = 0;
    base::result_code code = base::result_code::internal;
    /// True only if the ledger holds a tombstone for this attempt.
    bool not_run = false;
    base::wall_time retry_at{};
    std::string message;
};

/// \ingroup wire
/// \brief The entry no longer needs the response.
struct cancel
{
    base::request_id id;
    std::uint32_t attempt = 0;
};

/// \ingroup wire
/// \brief Requests a tombstone for this attempt and all earlier ones, unless one of them has
/// started.
struct fence
{
    base::request_id id;
    std::uint32_t attempt = 0;
};

/// \ingroup wire
/// \brief Response to `fence`.
struct fenced
{
    base::request_id id;
    std::uint32_t attempt = 0;
    /// True if this or an earlier attempt has started, or if the agent can't rule that out.
    bool started = true;
};

/// \ingroup wire
/// \brief Load report of an upstream and the receiver's share of its queue.
struct credit
{
    std::string upstream;
    std::uint32_t amount = 0;
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Average time per token of cost; 0 if unknown. See `admission::load_report`.
    std::int64_t latency_us = 0;
    bool accepting = false;
};

/// \ingroup wire
/// \brief Claims a request id for one execution (requests with an Idempotency-Key).
struct claim
{
    base::request_id id;
    /// Identifies the claimer, which may repeat the claim after a lost response.
    std::uint64_t token = 0;
    base::wall_time deadline{};
};

/// \ingroup wire
/// \brief Response to `claim`.
struct claimed
{
    base::request_id id;
    std::uint64_t token = 0;
    bool is_new = false;
    /// True if this agent has run for longer than the ledger horizon, so that its ledger is
    /// complete.
    bool older_than_horizon = false;
};

/// \ingroup wire
/// \brief Fingerprint of requests that ran on upstreams that crashed.
struct suspect
{
    std::uint64_t fingerprint = 0;
    std::vector<std::uint64_t> crash_ids;
    base::wall_time expires_at{};
};

/// \ingroup wire
/// \brief Requests the configuration if the receiver has a version above this one.
struct config_request
{
    std::uint64_t above_version = 0;
};

/// \ingroup wire
/// \brief A configuration record or a delta between two records, see `config::decode_update`.
struct config_content
{
    std::string content;
};

/// \ingroup wire
/// \brief Announcement of a version that an operator is about to write, or its withdrawal. The
/// receiver returns it without its content.
struct config_intent
{
    std::uint64_t version = 0;
    std::uint64_t hash = 0;
    std::string announcer;
    bool withdrawn = false;
    std::string content;
};

/// \ingroup wire
/// \brief Configuration version in effect in one process.
struct peer_version
{
    std::string host;
    std::uint64_t version = 0;
};

/// \ingroup wire
/// \brief From an agent to the operator's tool: the versions of the connected entries.
struct peer_versions
{
    std::vector<peer_version> peers;
};

/// \ingroup wire
/// \brief From gateway to gateway: the receiver owns a batch job according to the store. The
/// receiver thus need not wait for its next read of the store, so a lost notice only costs time.
struct job_assigned
{
    std::string job_id;
    /// Revision of the receiver's entry as the owner.
    std::uint64_t owner_revision = 0;
    /// The job's record as stored, see `rollout::decode_job_record`.
    std::string record;
};

/// \ingroup wire
/// \brief From gateway to gateway: the caller has ended a batch job that the receiver owns. As for
/// `job_assigned`, a lost notice only costs time.
struct job_ended
{
    std::string job_id;
};

/// \ingroup wire
/// \brief From gateway to gateway: a store call to relay, because the sender can't reach the store.
struct store_call
{
    /// Identifies the call at the sender.
    std::uint64_t number = 0;
    base::wall_time deadline{};
    std::string method;
    /// Path and query.
    std::string target;
    std::string body;
};

/// \ingroup wire
/// \brief Response to `store_call`.
struct store_answer
{
    std::uint64_t number = 0;
    /// HTTP status of the store's response; 0 if there is none.
    std::uint16_t status = 0;
    /// True if the call was sent to the store and may have taken effect.
    bool sent = false;
    std::string body;
};

/// \ingroup wire
/// \brief From gateway to gateway: requests the changes to a list that the receiver reads from the
/// store.
struct list_request
{
    /// Identifies the request at the sender.
    std::uint64_t number = 0;
    /// Prefix of the keys of the list in the store.
    std::string prefix;
    /// Id and version of the copy that the sender has; 0 for none.
    std::uint64_t source = 0;
    std::uint64_t version = 0;
    /// Maximum age of an acceptable read.
    base::duration longest_age{};
};

/// \ingroup wire
/// \brief Response to `list_request`.
struct list_answer
{
    std::uint64_t number = 0;
    /// False if the sender has no sufficiently recent read of the list.
    bool available = false;
    /// Time from the begin and from the end of the read of the list to this response.
    base::duration begin_age{};
    base::duration end_age{};
    store::list_changes changes;
};

/// \ingroup wire
/// \brief From the leader to the owners of jobs: an upstream is loading weights. If the notice is
/// lost, samples sent to the upstream are refused.
struct weights_loading
{
    std::string upstream;
    std::string model;
    std::uint32_t version = 0;
    /// Expected time from now until the weights are loaded.
    base::duration remaining{};
};

/// \ingroup wire
/// \brief From gateway to gateway: requests a permit to send one request to a rate-limited
/// upstream.
struct permit_request
{
    /// Identifies the request at the sender.
    std::uint64_t number = 0;
    std::string upstream;
    /// Limit of the upstream, as the sender knows it.
    double requests_per_s = 0;
};

/// \ingroup wire
/// \brief Response to `permit_request`.
struct permit_answer
{
    std::uint64_t number = 0;
    bool granted = false;
    /// Time after which another request may be granted.
    base::duration retry_after{};
};

/// \ingroup wire
/// \brief Keeps an idle connection alive.
struct ping
{
};

/// \ingroup wire
/// \brief Any message.
using message =
    std::variant<hello, start, started, chunk, finished, refuse, cancel, fence, fenced, credit,
                 claim, claimed, suspect, config_request, config_content, config_intent, ping,
                 peer_versions, job_assigned, job_ended, store_call, store_answer, list_request,
                 list_answer, weights_loading, permit_request, permit_answer>;

/// \ingroup wire
/// \brief An announced configuration, identified by its version and the hash of its record.
struct named_change
{
    std::uint64_t version = 0;
    std::uint64_t hash = 0;

    friend auto operator<=>(named_change const&, named_change const&) = default;
};

/// \ingroup wire
/// \brief State of the sender that each frame carries.
struct frame_stamp
{
    std::uint64_t config_version = 0;
    /// Numeric value of a `config::standing`.
    std::uint8_t standing = 0;
    /// From an entry to an agent: the platform lists the agent's host as leaving.
    bool host_leaving = false;
    std::vector<named_change> announced;
};

/// \ingroup wire
/// \brief A message and the common fields of all frames.
struct frame
{
    frame_stamp stamp;
    base::wall_time sent_at{};
    /// Monotonic time of the sender, and the last one that it received from the peer; 0 if none.
    std::int64_t sent_mono_us = 0;
    std::int64_t echo_mono_us = 0;
    message body;
};

} // namespace gooseberrywood::wire

#endif
