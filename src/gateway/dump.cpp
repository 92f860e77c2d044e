#include "gateway/dump.hpp"

#include <algorithm>

namespace gooseberrywood::gateway
{

namespace
{

using nlohmann::ordered_json;

ordered_json dump_upstreams(gateway const& self, base::mono_time now)
{
    auto upstreams = ordered_json::array();
    for (auto const& [id, upstream] : self.pool.upstreams)
    {
        upstreams.push_back({{"id", id},
                             {"service", upstream.record.service},
                             {"address", upstream.record.address},
                             {"domain", upstream.record.domain},
                             {"draining", upstream.record.draining},
                             {"leaving", upstream.leaving},
                             {"cold", now < upstream.record.cold_until},
                             {"suspended", now < upstream.suspended_until},
                             {"loading", now < upstream.loading_until},
                             {"running", upstream.running},
                             {"event_us", upstream.event_time.us},
                             {"answer_us", upstream.answer_time.us},
                             {"weights", upstream.record.weights}});
    }
    return upstreams;
}

ordered_json dump_jobs(gateway const& self)
{
    auto jobs = ordered_json::array();
    for (auto const& [id, job] : self.jobs)
    {
        auto const waiting =
            std::count_if(job.samples.begin(), job.samples.end(),
                          [](rollout::sample_progress const& progress)
                          { return progress.phase == rollout::sample_phase::waiting; });
        jobs.push_back({{"id", id},
                        {"team", job.record.team},
                        {"samples", job.samples.size()},
                        {"waiting", waiting},
                        {"listed", job.listed.size()},
                        {"owner_revision", job.owner_revision}});
    }
    return jobs;
}

ordered_json dump_members(gateway const& self)
{
    auto members = ordered_json::array();
    for (auto const& [host, member] : self.shared.members)
    {
        members.push_back({{"host", host},
                           {"lease", member.lease},
                           {"peer_address", member.peer_address},
                           {"processors", member.processors}});
    }
    return members;
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
            {"crash_marks", self.crashes.marks.by_id.size()},
            {"runs", self.runs.size()},
            {"upstreams", dump_upstreams(self, now)},
            {"jobs", dump_jobs(self)}};
}

} // namespace gooseberrywood::gateway
