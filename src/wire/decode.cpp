#include "wire/codec.hpp"

#include "wire/frame_generated.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace gooseberrywood::wire
{

namespace
{

base::request_id from_fb(fb::Id const* id)
{
    return id != nullptr ? base::request_id{id->high(), id->low()} : base::request_id{};
}

std::string from_fb(flatbuffers::String const* text)
{
    return text != nullptr ? text->str() : std::string{};
}

std::vector<std::uint64_t> from_fb(flatbuffers::Vector<std::uint64_t> const* values)
{
    return values != nullptr ? std::vector<std::uint64_t>(values->begin(), values->end())
                             : std::vector<std::uint64_t>{};
}

base::wall_time wall_time_from_us(std::int64_t us)
{
    return base::wall_time{base::wall_clock::duration{us}};
}

// An unknown code, sent by a peer that runs a newer version, is treated as an internal error.
base::result_code code_of(std::uint16_t number)
{
    return base::result_code_from(number).value_or(base::result_code::internal);
}

hello unpack(fb::Hello const& m)
{
    hello out{m.protocol(),
              static_cast<peer_role>(m.role()),
              from_fb(m.host()),
              from_fb(m.domain()),
              m.incarnation(),
              wall_time_from_us(m.host_started_us()),
              {}};
    if (m.upstreams() != nullptr)
    {
        for (auto const* u : *m.upstreams())
        {
            out.upstreams.push_back({from_fb(u->name()), from_fb(u->route())});
        }
    }
    return out;
}

start unpack(fb::Start const& m)
{
    start out;
    out.id = from_fb(m.id());
    out.attempt = m.attempt();
    out.upstream = from_fb(m.upstream());
    out.team = from_fb(m.team());
    out.route = from_fb(m.route());
    out.path = from_fb(m.path());
    out.method = from_fb(m.method());
    out.content_type = from_fb(m.content_type());
    out.idempotent = m.idempotent();
    out.stream = m.stream();
    out.deadline = wall_time_from_us(m.deadline_us());
    out.cost = m.cost();
    out.priority = m.priority();
    out.body = from_fb(m.body());
    out.resume_tokens = m.resume_tokens();
    out.resume_text = from_fb(m.resume_text());
    out.fingerprint = m.fingerprint();
    out.crash_ids = from_fb(m.crash_ids());
    out.key_hash = from_fb(m.key_hash());
    return out;
}

started unpack(fb::Started const& m)
{
    return {from_fb(m.id()), m.attempt()};
}

chunk unpack(fb::Chunk const& m)
{
    return {from_fb(m.id()), m.attempt(), m.first_token(), m.tokens(), from_fb(m.bytes())};
}

finished unpack(fb::Finished const& m)
{
    return {from_fb(m.id()),   m.attempt(),
            m.status(),        m.total_tokens(),
            m.prompt_tokens(), m.version_before(),
            m.version_after(), from_fb(m.content_type()),
            from_fb(m.body()), from_fb(m.finish_reason())};
}

refuse unpack(fb::Refuse const& m)
{
    return {from_fb(m.id()),
            m.attempt(),
            code_of(m.code()),
            m.not_run(),
            wall_time_from_us(m.retry_at_us()),
            from_fb(m.message())};
}

cancel unpack(fb::Cancel const& m)
{
    return {from_fb(m.id()), m.attempt()};
}

fence unpack(fb::Fence const& m)
{
    return {from_fb(m.id()), m.attempt()};
}

fenced unpack(fb::Fenced const& m)
{
    return {from_fb(m.id()), m.attempt(), m.started()};
}

credit unpack(fb::Credit const& m)
{
    return {from_fb(m.upstream()), m.credit(),   m.limit(), m.running(), m.queued(),
            m.latency_us(),        m.accepting()};
}

claim unpack(fb::Claim const& m)
{
    return {from_fb(m.id()), m.token(), wall_time_from_us(m.deadline_us())};
}

claimed unpack(fb::Claimed const& m)
{
    return {from_fb(m.id()), m.token(), m.is_new(), m.older_than_horizon()};
}

suspect unpack(fb::Suspect const& m)
{
    return {m.fingerprint(), from_fb(m.crash_ids()), wall_time_from_us(m.expires_us())};
}

config_request unpack(fb::ConfigRequest const& m)
{
    return {m.above_version()};
}

config_content unpack(fb::ConfigContent const& m)
{
    return {from_fb(m.content())};
}

config_intent unpack(fb::ConfigIntent const& m)
{
    return {m.version(), m.hash(), from_fb(m.announcer()), m.withdrawn(), from_fb(m.content())};
}

peer_versions unpack(fb::PeerVersions const& m)
{
    peer_versions out;
    if (m.peers() != nullptr)
    {
        for (auto const* p : *m.peers())
        {
            out.peers.push_back({from_fb(p->host()), p->version()});
        }
    }
    return out;
}

job_assigned unpack(fb::JobAssigned const& m)
{
    return {from_fb(m.job()), m.owner_revision(), from_fb(m.record())};
}

job_ended unpack(fb::JobEnded const& m)
{
    return {from_fb(m.job())};
}

store_call unpack(fb::StoreCall const& m)
{
    return {m.number(), wall_time_from_us(m.deadline_us()), from_fb(m.method()),
            from_fb(m.target()), from_fb(m.body())};
}

store_answer unpack(fb::StoreAnswer const& m)
{
    return {m.number(), m.status(), m.sent(), from_fb(m.body())};
}

list_request unpack(fb::ListRequest const& m)
{
    return {m.number(), from_fb(m.prefix()), m.source(), m.version(),
            base::duration(m.longest_age_us())};
}

list_answer unpack(fb::ListAnswer const& m)
{
    list_answer out;
    out.number = m.number();
    out.available = m.available();
    out.begin_age = base::duration(m.begin_age_us());
    out.end_age = base::duration(m.end_age_us());
    out.changes.source = m.source();
    out.changes.version = m.version();
    out.changes.whole = m.whole();
    if (m.items() != nullptr)
    {
        for (auto const* item : *m.items())
        {
            out.changes.items.push_back(
                {from_fb(item->key()), from_fb(item->value()), item->revision()});
        }
    }
    if (m.removed() != nullptr)
    {
        for (auto const* key : *m.removed())
        {
            out.changes.removed.push_back(from_fb(key));
        }
    }
    return out;
}

weights_loading unpack(fb::WeightsLoading const& m)
{
    return {from_fb(m.upstream()), from_fb(m.model()), m.version(),
            base::duration(m.remaining_us())};
}

permit_request unpack(fb::PermitRequest const& m)
{
    return {m.number(), from_fb(m.upstream()), m.requests_per_s()};
}

permit_answer unpack(fb::PermitAnswer const& m)
{
    return {m.number(), m.granted(), base::duration(m.retry_after_us())};
}

ping unpack(fb::Ping const&)
{
    return {};
}

template <class Table>
message unpack_as(fb::Frame const& root)
{
    return unpack(*static_cast<Table const*>(root.body()));
}

std::optional<message> unpack_body(fb::Frame const& root)
{
    switch (root.body_type())
    {
    case fb::Body::NONE:
        return std::nullopt;
    case fb::Body::Hello:
        return unpack_as<fb::Hello>(root);
    case fb::Body::Start:
        return unpack_as<fb::Start>(root);
    case fb::Body::Started:
        return unpack_as<fb::Started>(root);
    case fb::Body::Chunk:
        return unpack_as<fb::Chunk>(root);
    case fb::Body::Finished:
        return unpack_as<fb::Finished>(root);
    case fb::Body::Refuse:
        return unpack_as<fb::Refuse>(root);
    case fb::Body::Cancel:
        return unpack_as<fb::Cancel>(root);
    case fb::Body::Fence:
        return unpack_as<fb::Fence>(root);
    case fb::Body::Fenced:
        return unpack_as<fb::Fenced>(root);
    case fb::Body::Credit:
        return unpack_as<fb::Credit>(root);
    case fb::Body::Claim:
        return unpack_as<fb::Claim>(root);
    case fb::Body::Claimed:
        return unpack_as<fb::Claimed>(root);
    case fb::Body::Suspect:
        return unpack_as<fb::Suspect>(root);
    case fb::Body::ConfigRequest:
        return unpack_as<fb::ConfigRequest>(root);
    case fb::Body::ConfigContent:
        return unpack_as<fb::ConfigContent>(root);
    case fb::Body::ConfigIntent:
        return unpack_as<fb::ConfigIntent>(root);
    case fb::Body::Ping:
        return unpack_as<fb::Ping>(root);
    case fb::Body::PeerVersions:
        return unpack_as<fb::PeerVersions>(root);
    case fb::Body::JobAssigned:
        return unpack_as<fb::JobAssigned>(root);
    case fb::Body::JobEnded:
        return unpack_as<fb::JobEnded>(root);
    case fb::Body::StoreCall:
        return unpack_as<fb::StoreCall>(root);
    case fb::Body::StoreAnswer:
        return unpack_as<fb::StoreAnswer>(root);
    case fb::Body::ListRequest:
        return unpack_as<fb::ListRequest>(root);
    case fb::Body::ListAnswer:
        return unpack_as<fb::ListAnswer>(root);
    case fb::Body::WeightsLoading:
        return unpack_as<fb::WeightsLoading>(root);
    case fb::Body::PermitRequest:
        return unpack_as<fb::PermitRequest>(root);
    case fb::Body::PermitAnswer:
        return unpack_as<fb::PermitAnswer>(root);
    }
    return std::nullopt;
}

frame_stamp unpack_stamp(fb::Frame const& root)
{
    frame_stamp out{root.config_version(), root.standing(), root.host_leaving(), {}};
    if (root.announced() != nullptr)
    {
        for (auto const* change : *root.announced())
        {
            out.announced.push_back({change->version(), change->hash()});
        }
    }
    return out;
}

} // namespace

base::result<frame> decode(std::span<std::byte const> bytes)
{
    // FlatBuffers reads 8-byte scalars in place and needs them aligned, but a frame may start at
    // any offset of the receive buffer.
    std::vector<std::uint64_t> aligned((bytes.size() + sizeof(std::uint64_t) - 1) /
                                       sizeof(std::uint64_t));
    std::copy(bytes.begin(), bytes.end(), std::as_writable_bytes(std::span(aligned)).begin());
    bytes = std::as_bytes(std::span(aligned)).first(bytes.size());
    flatbuffers::Verifier verifier(reinterpret_cast<std::uint8_t const*>(bytes.data()),
                                   bytes.size());
    if (!fb::VerifyFrameBuffer(verifier))
    {
        return base::fail(
            base::result_code::frame_malformed,
            fmt::format("frame of {} bytes failed FlatBuffers verification", bytes.size()));
    }
    auto const& root = *fb::GetFrame(bytes.data());
    auto body = unpack_body(root);
    if (!body)
    {
        return base::fail(
            base::result_code::frame_malformed,
            fmt::format("expected a frame with a known message type, received type {}",
                        static_cast<int>(root.body_type())));
    }
    return frame{unpack_stamp(root), wall_time_from_us(root.sent_wall_us()), root.sent_mono_us(),
                 root.echo_mono_us(), std::move(*body)};
}

} // namespace gooseberrywood::wire
