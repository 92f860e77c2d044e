#include "fleet.hpp"
#include "rollout.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using fleet::issuer_certainty;

namespace
{

// Model of several gateways that all send as much as they may to one upstream with a rate limit.
// The gateways and the network are simulated; the decisions are those of `fleet` and `rollout`.

constexpr base::duration step = 10ms;
constexpr base::duration window = 4s;
constexpr base::duration contact = 3s;
constexpr base::duration told_delay = 500ms;
constexpr base::duration lease_length = 2s;
// Longest time until a change of the members is known to a gateway that hears the others.
constexpr base::duration max_view_age = 1700ms;
constexpr base::duration permit_timeout = 200ms;
constexpr char const* upstream_id = "u";

struct model_gateway
{
    std::string host;
    fleet::rate_limit limit;
    std::optional<fleet::permit_bucket> bucket;
    rollout::issuer_views views;
    base::mono_time read_at{};
    base::duration view_lag{};
    /// Counts the starts; messages to an earlier incarnation are lost.
    int incarnation = 0;
    bool is_down = false;
    bool is_cut = false;
    base::mono_time disturbed_until{};
    base::mono_time told_at = base::mono_time::max();
};

struct arrival
{
    base::mono_time at{};
    bool counts = false;
};

struct rate_limit_model
{
    explicit rate_limit_model(std::uint32_t seed) : random(seed)
    {
        gateways.resize(uniform(2, 12));
        for (std::size_t i = 0; i < gateways.size(); ++i)
        {
            gateways[i].host = "g" + std::to_string(i);
            gateways[i].view_lag = duration(0ms, max_view_age);
            members.insert(gateways[i].host);
        }
        requests_per_s = std::vector<double>{0, 0.5, 1, 2.4, 8, 30}[uniform(0, 5)];
        history.push_back({base::mono_time{}, members});
    }

    std::size_t uniform(std::size_t least, std::size_t most)
    {
        return std::uniform_int_distribution<std::size_t>(least, most)(random);
    }

    base::duration duration(base::duration least, base::duration most)
    {
        return base::duration(
            std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random));
    }

    void later(base::duration delay, std::function<void()> what)
    {
        events.emplace(now + delay, std::move(what));
    }

    /// Most messages are fast; a few are late by more than the time-out of a request for a permit.
    base::duration message_delay()
    {
        return uniform(0, 19) == 0 ? duration(100ms, 900ms) : duration(1ms, 20ms);
    }

    void set_member(std::string const& host, bool is_member)
    {
        is_member ? (void)members.insert(host) : (void)members.erase(host);
        history.push_back({now, members});
    }

    /// The members as they were in the store at a time.
    std::set<std::string> const& members_at(base::mono_time time) const
    {
        auto it = std::find_if(history.rbegin(), history.rend(),
                               [&](auto const& entry) { return entry.first <= time; });
        return it != history.rend() ? it->second : history.front().second;
    }

    void read_members(model_gateway& self)
    {
        auto const read_at = now - self.view_lag;
        if (self.is_cut || store_is_down || read_at < store_back_at)
        {
            return;
        }
        rollout::member_map view;
        for (auto const& host : members_at(read_at))
        {
            view[host] = {host, 1, "address", 1, "d"};
        }
        self.read_at = read_at;
        rollout::note_members(self.views, view, now);
    }

    void answer(model_gateway& self, base::mono_time sent_at, int incarnation)
    {
        if (self.incarnation != incarnation || self.is_down)
        {
            return;
        }
        (void)fleet::note_statement(self.limit, requests_per_s, sent_at, now);
        self.told_at = std::min(self.told_at, now);
    }

    void send(model_gateway& self)
    {
        if (self.limit.requests_per_s)
        {
            fleet::use_permit(self.limit, now);
        }
        bool const counts = now - told_delay >= self.told_at && now >= self.disturbed_until;
        arrivals.push_back({now, counts});
        later(duration(10ms, 1200ms), [this, &self, sent_at = now, incarnation = self.incarnation]
              { answer(self, sent_at, incarnation); });
    }

    bool issue(model_gateway& issuer)
    {
        if (!rollout::is_settled_issuer(issuer.views, upstream_id, issuer.host, now))
        {
            return false;
        }
        if (!issuer.bucket)
        {
            issuer.bucket = fleet::make_permit_bucket(requests_per_s, now);
        }
        auto const certainty = now < issuer.read_at + rollout::issuer_settle_time
                                   ? issuer_certainty::only_one
                                   : issuer_certainty::perhaps_two;
        return fleet::take_permit(*issuer.bucket, requests_per_s, certainty, now);
    }

    model_gateway* find(std::string_view host)
    {
        auto const it = std::find_if(gateways.begin(), gateways.end(),
                                     [&](auto const& one) { return one.host == host; });
        return it != gateways.end() ? &*it : nullptr;
    }

    void ask(model_gateway& self)
    {
        if (self.views.empty() || now < self.limit.ask_at)
        {
            return;
        }
        self.limit.ask_at = now + permit_timeout;
        auto* const issuer = find(rollout::issuer_of(self.views.back(), upstream_id));
        if (issuer == nullptr || issuer->is_down ||
            (issuer != &self && issuer->is_cut != self.is_cut))
        {
            return;
        }
        later(message_delay(),
              [this, &self, issuer, asked_at = now, incarnation = self.incarnation,
               asked_incarnation = issuer->incarnation]
              {
                  if (issuer->is_down || issuer->incarnation != asked_incarnation ||
                      !issue(*issuer))
                  {
                      return;
                  }
                  later(message_delay(),
                        [this, &self, asked_at, incarnation]
                        {
                            if (self.incarnation == incarnation)
                            {
                                self.limit.permits.push_back(asked_at + fleet::permit_validity);
                                self.limit.ask_at = now;
                            }
                        });
              });
    }

    void act(model_gateway& self)
    {
        if (self.is_down)
        {
            return;
        }
        read_members(self);
        if (fleet::permits_request(self.limit, now))
        {
            send(self);
        }
        else
        {
            ask(self);
        }
    }

    void leave_until_back(model_gateway& self, base::duration for_time)
    {
        later(lease_length,
              [this, &self]
              {
                  if (self.is_down || self.is_cut)
                  {
                      set_member(self.host, false);
                  }
              });
        later(for_time,
              [this, &self]
              {
                  self.is_down = false;
                  self.is_cut = false;
                  self.disturbed_until = now + contact;
                  set_member(self.host, true);
              });
        self.disturbed_until = now + for_time + contact;
    }

    void disturb()
    {
        auto& self = gateways[uniform(0, gateways.size() - 1)];
        auto const for_time = duration(300ms, 6s);
        if (self.is_down || self.is_cut || store_is_down)
        {
            return;
        }
        switch (uniform(0, 3))
        {
        case 0: // Killed and restarted.
            self.is_down = true;
            ++self.incarnation;
            self.limit = {};
            self.bucket.reset();
            self.views.clear();
            self.told_at = base::mono_time::max();
            leave_until_back(self, for_time);
            break;
        case 1: // Paused: its memory stays.
            self.is_down = true;
            leave_until_back(self, for_time);
            break;
        case 2: // Cut off from the store and from all others.
            self.is_cut = true;
            leave_until_back(self, for_time);
            break;
        case 3: // The store is down for all. Leases run out meanwhile, or don't.
            store_is_down = true;
            later(for_time,
                  [this, lapse = uniform(0, 1) == 0]
                  {
                      store_is_down = false;
                      store_back_at = now;
                      if (lapse)
                      {
                          members.clear();
                          history.push_back({now, members});
                          rejoin_all();
                      }
                  });
            break;
        }
    }

    void rejoin_all()
    {
        for (auto& one : gateways)
        {
            later(duration(0ms, 1s),
                  [this, &one]
                  {
                      if (!one.is_down && !one.is_cut)
                      {
                          set_member(one.host, true);
                      }
                  });
        }
    }

    void run(base::duration length)
    {
        for (auto const end = now + length; now < end; now += step)
        {
            while (!events.empty() && events.begin()->first <= now)
            {
                auto const event = events.extract(events.begin());
                event.mapped()();
            }
            if (uniform(0, 149) == 0)
            {
                disturb();
            }
            for (auto& one : gateways)
            {
                act(one);
            }
        }
    }

    /// Largest number of requests within the window that count, after the first ones have told
    /// the gateways of the limit.
    std::size_t most_within_window() const
    {
        std::deque<base::mono_time> recent;
        std::size_t most = 0;
        for (auto const& one : arrivals)
        {
            if (!one.counts || one.at < base::mono_time{} + contact)
            {
                continue;
            }
            recent.push_back(one.at);
            while (recent.front() + window < one.at)
            {
                recent.pop_front();
            }
            most = std::max(most, recent.size());
        }
        return most;
    }

    std::mt19937 random;
    base::mono_time now{};
    std::vector<model_gateway> gateways;
    double requests_per_s = 0;
    std::set<std::string> members;
    std::vector<std::pair<base::mono_time, std::set<std::string>>> history;
    bool store_is_down = false;
    base::mono_time store_back_at{};
    std::multimap<base::mono_time, std::function<void()>> events;
    std::vector<arrival> arrivals;
};

} // namespace

SCENARIO("gateways exceed the rate limit of an upstream while some restart, pause or are cut off")
{
    constexpr std::uint32_t seeds = 60;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        CAPTURE(seed);
        rate_limit_model model(seed);
        model.run(40s);
        CAPTURE(model.requests_per_s);
        auto const allowed = 1.5 * model.requests_per_s * 4 + 5;
        CHECK(static_cast<double>(model.most_within_window()) <= allowed);
    }
}
