#include "fleet/choose_upstream.hpp"

#include <algorithm>
#include <vector>

namespace gooseberrywood::fleet
{

namespace
{

// Most requests that may go to a cold upstream at once.
constexpr double cold_burst = 1;

// An upstream that takes longer than this multiple of the median for an event is slow.
constexpr double slow_factor = 1.6;

// Plain requests above the slots wait at the upstream; some of them keep its slots busy.
constexpr std::uint32_t queued_per_slot = 2;

/// Median of the known means of a service's upstreams; 1 while none is known, so that only loads
/// are compared.
double usual_us(pool const& of, std::string_view service, recent_mean upstream::*which)
{
    std::vector<double> known;
    for (auto const& [id, one] : of.upstreams)
    {
        if (one.record.service == service && (one.*which).us > 0)
        {
            known.push_back((one.*which).us);
        }
    }
    if (known.empty())
    {
        return 1;
    }
    auto const middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
}

bool is_usable(pool const& in, upstream const& which, std::string_view service, base::mono_time now)
{
    return which.record.service == service && !which.record.draining && !which.missing &&
           now >= which.suspended_until && !in.domains_out.contains(which.record.domain);
}

void refill_cold_budget(upstream& which, double requests_per_s, std::uint32_t sharing_processes,
                        base::mono_time now)
{
    auto const elapsed = std::chrono::duration<double>(now - which.cold_refilled_at).count();
    which.cold_refilled_at = now;
    which.cold_tokens =
        std::min(cold_burst, which.cold_tokens + elapsed * requests_per_s / sharing_processes);
}

bool bears_one_more(upstream& which, service const* of, pool const& in, base::mono_time now)
{
    if (of == nullptr || of->cold_requests_per_s <= 0 || now >= which.record.cold_until)
    {
        return true;
    }
    refill_cold_budget(which, of->cold_requests_per_s, in.sharing_processes, now);
    return which.cold_tokens >= 1;
}

bool contains(std::span<std::string const> ids, std::string_view id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// The mean of an upstream, or what is usual while it is not known.
double known_or(recent_mean const& mean, double usual_us)
{
    return mean.us > 0 ? mean.us : usual_us;
}

double load_of(upstream const& which, std::uint32_t more)
{
    return static_cast<double>(which.running + more) / std::max(1U, which.record.slots);
}

/// Expected time of one more request.
double plain_cost(upstream const& which, std::string_view domain, double usual_us)
{
    constexpr double remote_factor = 1.05;
    auto const distance = which.record.domain == domain ? 1.0 : remote_factor;
    return known_or(which.answer_time, usual_us) * load_of(which, 1) * distance;
}

/// Expected time between two events of one more sample.
double sample_cost(upstream const& which, double usual_us)
{
    // A batch slows each of its requests a little, so that load matters less than speed.
    constexpr double load_weight = 0.5;
    return known_or(which.event_time, usual_us) * (1.0 + load_weight * load_of(which, 0));
}

bool has_place(upstream const& which)
{
    return which.running < which.record.slots && (!which.on_probation || which.unanswered == 0);
}

struct sample_candidate
{
    upstream* which = nullptr;
    /// It holds the weights by the list, an answer or an order.
    bool is_known_new_enough = false;
    /// Version that it is told to have; 0 when the list or an answer has shown it.
    std::uint32_t expected_version = 0;
    /// It serves the sample's model, or no model in particular.
    bool is_own = true;
};

bool is_announced(upstream const& which, sample_requirements const& need)
{
    return which.announced.model == need.model && which.announced.version >= need.least_version;
}

bool is_own(pool const& in, std::string_view id, std::string_view model)
{
    auto const at = in.shares.find(id);
    return at == in.shares.end() || at->second == model;
}

std::vector<sample_candidate> sample_candidates(pool& from, service const* of,
                                                sample_requirements const& need,
                                                base::mono_time now)
{
    std::vector<sample_candidate> found;
    bool own_lives = false;
    for (auto& [id, one] : from.upstreams)
    {
        if (!is_usable(from, one, need.service, now))
        {
            continue;
        }
        auto const version = version_of(one.record.weights, need.model);
        bool const shown = version >= need.least_version;
        bool const known = shown || is_announced(one, need);
        bool const own = is_own(from, id, need.model);
        own_lives = own_lives || (own && known);
        if (now < one.loading_until || !has_place(one) || id == need.avoided)
        {
            continue;
        }
        // The list tells of new weights up to two seconds late. An upstream that follows the model
        // may hold the version already; one sample finds out.
        bool const may_follow = version + 1 == need.least_version && one.unanswered == 0;
        if (!shown && ((!known && !may_follow) || now < one.ask_weights_at))
        {
            continue;
        }
        auto const expected = shown ? 0 : known ? one.announced.version : need.least_version;
        if (bears_one_more(one, of, from, now))
        {
            found.push_back({&one, known, expected, own});
        }
    }
    if (own_lives)
    {
        std::erase_if(found, [](sample_candidate const& one) { return !one.is_own; });
    }
    return found;
}

chosen_upstream make_choice(sample_candidate const& from)
{
    return {from.which->record.id, from.which->record.address, from.expected_version};
}

} // namespace

bool should_move_sample(pool& from, configuration const& in, std::string_view id,
                        sample_requirements const& need, base::mono_time now)
{
    constexpr double worthwhile = 2;
    auto const* const current = find_upstream(from, id);
    auto const usual = usual_us(from, need.service, &upstream::event_time);
    if (current == nullptr || current->event_time.us < slow_factor * usual)
    {
        return false;
    }
    auto const other = choose_sample(from, in, need, now);
    if (!other || other->expected_version != 0)
    {
        return false;
    }
    auto const* const target = find_upstream(from, other->id);
    return current->event_time.us > worthwhile * known_or(target->event_time, usual);
}

std::optional<chosen_upstream> choose_plain(pool& from, configuration const& in,
                                            plain_requirements const& need, base::mono_time now)
{
    auto const* const of = find_service(in, need.service);
    auto const usual = usual_us(from, need.service, &upstream::answer_time);
    upstream* best = nullptr;
    for (auto& [id, one] : from.upstreams)
    {
        bool const has_room = one.running < one.record.slots * queued_per_slot;
        if (!is_usable(from, one, need.service, now) || !has_room || contains(need.tried, id) ||
            !bears_one_more(one, of, from, now))
        {
            continue;
        }
        if (best == nullptr ||
            plain_cost(one, need.domain, usual) < plain_cost(*best, need.domain, usual))
        {
            best = &one;
        }
    }
    return best != nullptr
               ? std::optional(chosen_upstream{best->record.id, best->record.address, 0})
               : std::nullopt;
}

std::optional<chosen_upstream> choose_sample(pool& from, configuration const& in,
                                             sample_requirements const& need, base::mono_time now)
{
    auto const candidates = sample_candidates(from, find_service(in, need.service), need, now);
    auto const usual = usual_us(from, need.service, &upstream::event_time);
    sample_candidate const* best = nullptr;
    for (auto const& one : candidates)
    {
        bool const is_slow = one.which->event_time.us > slow_factor * usual;
        if (one.is_known_new_enough && one.which->record.id == need.preferred && !is_slow)
        {
            return make_choice(one);
        }
        bool const better = best == nullptr ||
                            (one.is_known_new_enough && !best->is_known_new_enough) ||
                            (one.is_known_new_enough == best->is_known_new_enough &&
                             sample_cost(*one.which, usual) < sample_cost(*best->which, usual));
        if (better)
        {
            best = &one;
        }
    }
    return best != nullptr ? std::optional(make_choice(*best)) : std::nullopt;
}

} // namespace gooseberrywood::fleet
