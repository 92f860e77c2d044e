#include "fleet/crash_marks.hpp"

#include "base/hash.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace gooseberrywood::fleet
{

namespace
{

// Most first marks are withdrawn within this time, since a retry of the request succeeds elsewhere.
constexpr base::duration share_delay = std::chrono::milliseconds(300);

// An upstream that ended silently is missing from the list after three heartbeats.
constexpr base::duration suspicion_lifetime = std::chrono::seconds(10);

// An upstream that has started again under its id may answer before the list shows that.
constexpr base::duration list_lag = std::chrono::milliseconds(5000);

// A crash marks at most the requests that run on one upstream.
constexpr std::size_t max_marks = 10'000;

// Enough for the requests that come often.
constexpr std::size_t max_served = 4096;

// An incarnation whose connections break this often without its end is not counted any more.
constexpr std::uint32_t max_marks_of_incarnation = 16;

using mark_iterator = std::map<crash_mark_id, crash_mark>::iterator;

void stop_watching(crash_marks& marks, crash_mark_id const& id, crash_mark const& mark)
{
    if (!mark.observed)
    {
        return;
    }
    auto const watched = marks.undecided.find(mark.observed->upstream);
    if (watched == marks.undecided.end())
    {
        return;
    }
    watched->second.erase(id);
    if (watched->second.empty())
    {
        marks.undecided.erase(watched);
    }
}

mark_iterator erase(crash_marks& marks, mark_iterator it)
{
    stop_watching(marks, it->first, it->second);
    marks.unshared.erase(it->first);
    return marks.by_id.erase(it);
}

template <class Condition>
void erase_if(crash_marks& marks, Condition&& condition)
{
    for (auto it = marks.by_id.begin(); it != marks.by_id.end();)
    {
        it = condition(it->second) ? erase(marks, it) : std::next(it);
    }
}

void make_room(crash_marks& marks, base::mono_time now)
{
    if (marks.by_id.size() < max_marks)
    {
        return;
    }
    erase_if(marks, [&](crash_mark const& mark)
             { return now >= mark.expires_at || mark.state != crash_mark_state::standing; });
}

/// \returns null when the table is full.
crash_mark* find_or_add(crash_marks& marks, crash_mark_id const& id, base::mono_time now)
{
    if (auto const known = marks.by_id.find(id); known != marks.by_id.end())
    {
        return &known->second;
    }
    make_room(marks, now);
    if (marks.by_id.size() >= max_marks)
    {
        return nullptr;
    }
    auto& added = marks.by_id[id];
    added.state = crash_mark_state::suspected;
    added.expires_at = now + suspicion_lifetime;
    return &added;
}

template <class Marks>
auto marks_of(Marks& marks, std::uint64_t fingerprint)
{
    auto const begin = marks.by_id.lower_bound({fingerprint, 0});
    auto const end =
        std::find_if(begin, marks.by_id.end(),
                     [&](auto const& entry) { return entry.first.fingerprint != fingerprint; });
    return std::pair(begin, end);
}

void stop_sharing(crash_marks& marks, crash_mark_id const& id, crash_mark& mark)
{
    mark.share_at.reset();
    mark.unconfirmed_shares = 0;
    marks.unshared.erase(id);
}

void share(crash_marks& marks, crash_mark_id const& id, crash_mark& mark, base::mono_time at)
{
    mark.share_at = at;
    marks.unshared.insert(id);
}

/// Advances the state of a mark that this process decides about, and has the others told.
void advance(crash_marks& marks, crash_mark_id const& id, crash_mark& mark, crash_mark_state state,
             base::mono_time now)
{
    if (state <= mark.state)
    {
        return;
    }
    mark.state = state;
    stop_sharing(marks, id, mark);
    if (state == crash_mark_state::standing)
    {
        mark.expires_at = now + crash_mark_lifetime;
        share(marks, id, mark, now + share_delay);
        return;
    }
    stop_watching(marks, id, mark);
    // Nobody needs to hear of a mark that was withdrawn before it was shared.
    if (mark.is_shared)
    {
        share(marks, id, mark, now);
    }
}

/// Id for the next mark of an incarnation: the first that is not withdrawn.
crash_mark_id next_id(crash_marks const& marks, std::uint64_t fingerprint,
                      std::string_view upstream, std::int64_t started_ms)
{
    crash_mark_id id;
    for (std::uint32_t number = 0; number < max_marks_of_incarnation; ++number)
    {
        id = {fingerprint, crash_of(upstream, started_ms, number)};
        auto const known = marks.by_id.find(id);
        if (known == marks.by_id.end() || known->second.state != crash_mark_state::withdrawn)
        {
            break;
        }
    }
    return id;
}

/// Adds a mark of this process, unless it is known; null when the table is full.
mark_iterator observe(crash_marks& marks, std::uint64_t fingerprint, std::string_view upstream,
                      std::int64_t started_ms, base::mono_time now)
{
    auto const id = next_id(marks, fingerprint, upstream, started_ms);
    auto* const mark = find_or_add(marks, id, now);
    if (mark == nullptr)
    {
        return marks.by_id.end();
    }
    if (!mark->observed && mark->state != crash_mark_state::withdrawn)
    {
        mark->observed = observed_crash{std::string(upstream), started_ms, now, {}};
        marks.undecided[mark->observed->upstream].insert(id);
    }
    return marks.by_id.find(id);
}

bool is_proved_alive(observed_crash const& observed, base::mono_time read_at)
{
    // Without a start time, the list can't tell a new incarnation.
    return observed.started_ms != 0 && observed.answered_at &&
           read_at > *observed.answered_at + list_lag;
}

void review(crash_marks& marks, crash_mark_id const& id, incarnation_state listed,
            base::mono_time read_at, base::mono_time now)
{
    auto const found = marks.by_id.find(id);
    auto& mark = found->second;
    if (listed == incarnation_state::gone)
    {
        stop_watching(marks, id, mark);
        advance(marks, id, mark, crash_mark_state::standing, now);
    }
    else if (listed == incarnation_state::leaving && mark.state == crash_mark_state::suspected)
    {
        // Its end will be no crash.
        erase(marks, found);
    }
    else if (listed != incarnation_state::missing && is_proved_alive(*mark.observed, read_at))
    {
        advance(marks, id, mark, crash_mark_state::withdrawn, now);
    }
}

bool counts(crash_mark const& mark, base::mono_time now)
{
    return mark.state == crash_mark_state::standing && now < mark.expires_at;
}

/// Shares again what a late write in the store has replaced by an earlier state.
void correct_store(crash_marks& marks, crash_notice const& stored, base::mono_time read_at,
                   base::mono_time now)
{
    auto const known = marks.by_id.find(stored.id);
    if (known == marks.by_id.end())
    {
        return;
    }
    auto& mark = known->second;
    bool const is_outdated =
        stored.state < mark.state && mark.stored_at && read_at > *mark.stored_at && !mark.share_at;
    if (is_outdated)
    {
        share(marks, stored.id, mark, now);
    }
    else if (stored.state == mark.state && mark.share_at)
    {
        note_stored(marks, stored, now);
    }
}

void remember_served(crash_marks& marks, std::uint64_t fingerprint)
{
    if (!marks.served.insert(fingerprint).second)
    {
        return;
    }
    marks.served_order.push_back(fingerprint);
    if (marks.served_order.size() > max_served)
    {
        marks.served.erase(marks.served_order.front());
        marks.served_order.pop_front();
    }
}

/// Shares the marks of a request at once when there are several: few innocent requests have them.
void share_several_now(crash_marks& marks, std::uint64_t fingerprint, base::mono_time now)
{
    if (count_crashes(marks, fingerprint, now) < 2)
    {
        return;
    }
    auto const [begin, end] = marks_of(marks, fingerprint);
    for (auto it = begin; it != end; ++it)
    {
        bool const is_first_share = it->second.share_at && it->second.unconfirmed_shares == 0;
        if (is_first_share)
        {
            it->second.share_at = now;
        }
    }
}

} // namespace

std::uint64_t crash_of(std::string_view upstream, std::int64_t started_ms, std::uint32_t number)
{
    return base::hash64(fmt::format("{}@{}", upstream, started_ms), number);
}

void note_broken_run(crash_marks& marks, std::uint64_t fingerprint, std::string_view upstream,
                     std::int64_t started_ms, base::mono_time now)
{
    auto const mark = observe(marks, fingerprint, upstream, started_ms, now);
    if (mark != marks.by_id.end())
    {
        advance(marks, mark->first, mark->second, crash_mark_state::standing, now);
        share_several_now(marks, fingerprint, now);
    }
}

void note_unanswered_run(crash_marks& marks, std::uint64_t fingerprint, std::string_view upstream,
                         std::int64_t started_ms, base::mono_time now)
{
    (void)observe(marks, fingerprint, upstream, started_ms, now);
}

void note_answered_request(crash_marks& marks, std::uint64_t fingerprint, base::mono_time now)
{
    remember_served(marks, fingerprint);
    auto const [begin, end] = marks_of(marks, fingerprint);
    for (auto it = begin; it != end; ++it)
    {
        advance(marks, it->first, it->second, crash_mark_state::withdrawn, now);
    }
}

void note_upstream_alive(crash_marks& marks, std::string_view upstream, base::mono_time sent_at,
                         base::mono_time now)
{
    auto const watched = marks.undecided.find(upstream);
    if (watched == marks.undecided.end())
    {
        return;
    }
    for (auto const& id : watched->second)
    {
        auto& observed = *marks.by_id.at(id).observed;
        if (sent_at > observed.seen_at && !observed.answered_at)
        {
            observed.answered_at = now;
        }
    }
}

void review_crash_marks(crash_marks& marks,
                        std::function<incarnation_state(std::string_view upstream,
                                                        std::int64_t started_ms)> const& state_of,
                        base::mono_time read_at, base::mono_time now)
{
    erase_if(marks, [&](crash_mark const& mark) { return now >= mark.expires_at; });
    // Copied, since a mark that is decided leaves the table.
    auto const undecided = marks.undecided;
    for (auto const& [upstream, ids] : undecided)
    {
        for (auto const& id : ids)
        {
            auto const started_ms = marks.by_id.at(id).observed->started_ms;
            review(marks, id, state_of(upstream, started_ms), read_at, now);
        }
    }
}

std::size_t count_crashes(crash_marks const& marks, std::uint64_t fingerprint, base::mono_time now)
{
    auto const [begin, end] = marks_of(marks, fingerprint);
    return static_cast<std::size_t>(
        std::count_if(begin, end, [&](auto const& entry) { return counts(entry.second, now); }));
}

std::optional<base::mono_time> refused_until(crash_marks const& marks, std::uint64_t fingerprint,
                                             base::mono_time now)
{
    std::vector<base::mono_time> ends;
    auto const [begin, end] = marks_of(marks, fingerprint);
    for (auto it = begin; it != end; ++it)
    {
        if (counts(it->second, now))
        {
            ends.push_back(it->second.expires_at);
        }
    }
    auto const needed =
        marks.served.contains(fingerprint) ? crashes_to_refuse_served : crashes_to_refuse;
    if (ends.size() < needed)
    {
        return std::nullopt;
    }
    // The request is refused until fewer marks are left.
    auto const last = ends.end() - static_cast<std::ptrdiff_t>(needed);
    std::nth_element(ends.begin(), last, ends.end());
    return *last;
}

std::vector<crash_notice> take_marks_to_share(crash_marks& marks, std::size_t max_count,
                                              base::mono_time retry_at, base::mono_time now)
{
    std::vector<crash_notice> notices;
    for (auto const& id : marks.unshared)
    {
        auto& mark = marks.by_id.at(id);
        if (notices.size() < max_count && now >= *mark.share_at)
        {
            mark.share_at = retry_at;
            mark.is_shared = true;
            ++mark.unconfirmed_shares;
            notices.push_back({id, mark.state});
        }
    }
    return notices;
}

bool is_sent_directly(crash_marks const& marks, crash_mark_id const& id)
{
    auto const known = marks.by_id.find(id);
    return known != marks.by_id.end() && std::has_single_bit(known->second.unconfirmed_shares);
}

std::optional<base::mono_time> next_share_at(crash_marks const& marks)
{
    std::optional<base::mono_time> next;
    for (auto const& id : marks.unshared)
    {
        auto const share_at = marks.by_id.at(id).share_at;
        if (!next || *share_at < *next)
        {
            next = share_at;
        }
    }
    return next;
}

void note_stored(crash_marks& marks, crash_notice const& notice, base::mono_time now)
{
    auto const known = marks.by_id.find(notice.id);
    if (known != marks.by_id.end() && known->second.state == notice.state)
    {
        stop_sharing(marks, notice.id, known->second);
        known->second.stored_at = now;
    }
}

void apply_notice(crash_marks& marks, crash_notice const& notice, base::mono_time now)
{
    auto* const mark = find_or_add(marks, notice.id, now);
    if (mark == nullptr)
    {
        return;
    }
    bool const was_shared = std::exchange(mark->is_shared, true);
    if (notice.state < mark->state && !was_shared)
    {
        // The others need to hear of the withdrawal after all.
        share(marks, notice.id, *mark, now);
    }
    if (notice.state <= mark->state)
    {
        return;
    }
    mark->state = notice.state;
    mark->expires_at = std::max(mark->expires_at, now + crash_mark_lifetime);
    stop_sharing(marks, notice.id, *mark);
    if (notice.state == crash_mark_state::withdrawn)
    {
        stop_watching(marks, notice.id, *mark);
    }
}

void apply_stored_notices(crash_marks& marks, std::span<crash_notice const> stored,
                          base::mono_time read_at, base::mono_time now)
{
    std::set<crash_mark_id> in_store;
    for (auto const& notice : stored)
    {
        in_store.insert(notice.id);
        apply_notice(marks, notice, now);
        correct_store(marks, notice, read_at, now);
    }
    for (auto& [id, mark] : marks.by_id)
    {
        bool const is_lost = mark.stored_at && read_at > *mark.stored_at && !in_store.contains(id);
        if (is_lost && counts(mark, now) && !mark.share_at)
        {
            share(marks, id, mark, now);
        }
    }
}

} // namespace gooseberrywood::fleet
