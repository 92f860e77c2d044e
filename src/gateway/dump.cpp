#include "gateway/dump.hpp"

#include <algorithm>

namespace gooseberrywood::gateway
{

namespace
{

using nlohmann::ordered_json;

ordered_json dump_upstreams(gateway const& self, base::mono_time now)
{
    auto shown = ordered_json::array();
    for (auto const& [id, one] : self.pool.upstreams)
    {
        shown.push_back({{"id", id},
                         {"service", one.record.service},
                         {"address", one.record.address},
                         {"domain", one.record.domain},
                         {"draining", one.record.draining},
                         {"cold", now < one.record.cold_until},
                         {"suspended", now < one.suspended_until},
                         {"loading", now < one.loading_until},
                         {"running", one.running},
                         {"event_us", one.event_time.us},
                         {"answer_us", one.answer_time.us},
                         {"weights", one.record.weights}});
    }
    return shown;
}

ordered_json dump_jobs(gateway const& self)
{
    auto shown = ordered_json::array();
    for (auto const& [id, job] : self.jobs)
    {
        auto const waiting = std::count_if(job.samples.begin(), job.samples.end(),
                                           [](rollout::sample_progress const& one)
                                           { return one.phase == rollout::sample_phase::waiting; });
        shown.push_back({{"id", id},
                         {"team", job.record.team},
                         {"samples", job.samples.size()},
                         {"waiting", waiting},
                         {"listed", job.listed.size()},
                         {"owner_revision", job.owner_revision}});
    }
    return shown;
}

ordered_json dump_members(gateway const& self)
{
    auto shown = ordered_json::array();
    for (auto const& [host, member] : self.shared.members)
    {
        shown.push_back({{"host", host},
                         {"lease", member.lease},
                         {"peer_address", member.peer_address},
                         {"processors", member.processors}});
    }
    return shown;
}

} // namespace

ordered_json dump(gateway const& self)
{
    auto const now = base::mono_now();
    return {{"host", self.settings.host},
            {"domain", self.settings.domain},
            {"stopping", self.stopping},
            {"configuration", self.configuration ? self.configuration->version : 0},
            {"configuration_age_us", (now - self.operator_poller.confirmed_at).count()},
            {"lease", self.lease.id},
            {"leads", self.candidate.held.has_value()},
            {"members", dump_members(self)},
            {"requests", self.requests.size()},
            {"runs", self.runs.size()},
            {"upstreams", dump_upstreams(self, now)},
            {"jobs", dump_jobs(self)}};
}

} // namespace gooseberrywood::gateway
