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

using builder = flatbuffers::FlatBufferBuilder;
using body_offset = std::pair<fb::Body, flatbuffers::Offset<void>>;

fb::Id to_fb(base::request_id const& id)
{
    return {id.high, id.low};
}

body_offset pack(builder& out, hello const& m)
{
    std::vector<flatbuffers::Offset<fb::UpstreamInfo>> upstreams;
    upstreams.reserve(m.upstreams.size());
    for (auto const& u : m.upstreams)
    {
        upstreams.push_back(
            fb::CreateUpstreamInfo(out, out.CreateString(u.name), out.CreateString(u.route)));
    }
    auto const body =
        fb::CreateHello(out, m.protocol, static_cast<std::uint8_t>(m.role),
                        out.CreateString(m.host), out.CreateString(m.domain), m.incarnation,
                        base::micros(m.started_at), out.CreateVector(upstreams));
    return {fb::Body::Hello, body.Union()};
}

body_offset pack(builder& out, start const& m)
{
    auto const id = to_fb(m.id);
    auto const upstream = out.CreateString(m.upstream);
    auto const team = out.CreateString(m.team);
    auto const route = out.CreateString(m.route);
    auto const path = out.CreateString(m.path);
    auto const method = out.CreateString(m.method);
    auto const content_type = out.CreateString(m.content_type);
    auto const body = out.CreateString(m.body);
    auto const resume_text = out.CreateString(m.resume_text);
    auto const crash_ids = out.CreateVector(m.crash_ids);
    auto const key_hash = out.CreateString(m.key_hash);
    fb::StartBuilder b(out);
    b.add_id(&id);
    b.add_attempt(m.attempt);
    b.add_upstream(upstream);
    b.add_team(team);
    b.add_route(route);
    b.add_path(path);
    b.add_method(method);
    b.add_content_type(content_type);
    b.add_idempotent(m.idempotent);
    b.add_stream(m.stream);
    b.add_deadline_us(base::micros(m.deadline));
    b.add_cost(m.cost);
    b.add_priority(m.priority);
    b.add_body(body);
    b.add_resume_tokens(m.resume_tokens);
    b.add_resume_text(resume_text);
    b.add_fingerprint(m.fingerprint);
    b.add_crash_ids(crash_ids);
    b.add_key_hash(key_hash);
    return {fb::Body::Start, b.Finish().Union()};
}

body_offset pack(builder& out, started const& m)
{
    auto const id = to_fb(m.id);
    return {fb::Body::Started, fb::CreateStarted(out, &id, m.attempt).Union()};
}

body_offset pack(builder& out, chunk const& m)
{
    auto const id = to_fb(m.id);
    return {fb::Body::Chunk,
            fb::CreateChunk(out, &id, m.attempt, m.first_token, m.tokens, out.CreateString(m.bytes))
                .Union()};
}

body_offset pack(builder& out, finished const& m)
{
    auto const id = to_fb(m.id);
    auto const content_type = out.CreateString(m.content_type);
    auto const body = out.CreateString(m.body);
    auto const reason = out.CreateString(m.finish_reason);
    return {fb::Body::Finished,
            fb::CreateFinished(out, &id, m.attempt, m.status, m.total_tokens, m.prompt_tokens,
                               m.version_before, m.version_after, content_type, body, reason)
                .Union()};
}

body_offset pack(builder& out, refuse const& m)
{
    auto const id = to_fb(m.id);
    return {fb::Body::Refuse,
            fb::CreateRefuse(out, &id, m.attempt, static_cast<std::uint16_t>(m.code), m.not_run,
                             base::micros(m.retry_at), out.CreateString(m.message))
                .Union()};
}

body_offset pack(builder& out, cancel const& m)
{
    auto const id = to_fb(m.id);
    return {fb::Body::Cancel, fb::CreateCancel(out, &id, m.attempt).Union()};
}

body_offset pack(builder& out, fence const& m)
{
    auto const id = to_fb(m.id);
    return {fb::Body::Fence, fb::CreateFence(out, &id, m.attempt).Union()};
}

body_offset pack(builder& out, fenced const& m)
{
    auto const id = to_fb(m.id);
    return {fb::Body::Fenced, fb::CreateFenced(out, &id, m.attempt, m.started).Union()};
}

body_offset pack(builder& out, credit const& m)
{
    return {fb::Body::Credit, fb::CreateCredit(out, out.CreateString(m.upstream), m.amount, m.limit,
                                               m.running, m.queued, m.latency_us, m.accepting)
                                  .Union()};
}

body_offset pack(builder& out, claim const& m)
{
    auto const id = to_fb(m.id);
    return {fb::Body::Claim, fb::CreateClaim(out, &id, m.token, base::micros(m.deadline)).Union()};
}

body_offset pack(builder& out, claimed const& m)
{
    auto const id = to_fb(m.id);
    return {fb::Body::Claimed,
            fb::CreateClaimed(out, &id, m.token, m.is_new, m.older_than_horizon).Union()};
}

body_offset pack(builder& out, suspect const& m)
{
    return {fb::Body::Suspect, fb::CreateSuspect(out, m.fingerprint, out.CreateVector(m.crash_ids),
                                                 base::micros(m.expires_at))
                                   .Union()};
}

body_offset pack(builder& out, config_request const& m)
{
    return {fb::Body::ConfigRequest, fb::CreateConfigRequest(out, m.above_version).Union()};
}

body_offset pack(builder& out, config_content const& m)
{
    return {fb::Body::ConfigContent,
            fb::CreateConfigContent(out, out.CreateString(m.content)).Union()};
}

body_offset pack(builder& out, config_intent const& m)
{
    auto const announcer = out.CreateString(m.announcer);
    auto const content = out.CreateString(m.content);
    return {
        fb::Body::ConfigIntent,
        fb::CreateConfigIntent(out, m.version, m.hash, announcer, m.withdrawn, content).Union()};
}

body_offset pack(builder& out, peer_versions const& m)
{
    std::vector<flatbuffers::Offset<fb::PeerVersion>> peers;
    peers.reserve(m.peers.size());
    for (auto const& p : m.peers)
    {
        peers.push_back(fb::CreatePeerVersion(out, out.CreateString(p.host), p.version));
    }
    return {fb::Body::PeerVersions, fb::CreatePeerVersions(out, out.CreateVector(peers)).Union()};
}

body_offset pack(builder& out, job_assigned const& m)
{
    auto const job = out.CreateString(m.job_id);
    auto const record = out.CreateString(m.record);
    return {fb::Body::JobAssigned,
            fb::CreateJobAssigned(out, job, m.owner_revision, record).Union()};
}

body_offset pack(builder& out, job_ended const& m)
{
    return {fb::Body::JobEnded, fb::CreateJobEnded(out, out.CreateString(m.job_id)).Union()};
}

body_offset pack(builder& out, store_call const& m)
{
    auto const method = out.CreateString(m.method);
    auto const target = out.CreateString(m.target);
    auto const body = out.CreateString(m.body);
    return {
        fb::Body::StoreCall,
        fb::CreateStoreCall(out, m.number, base::micros(m.deadline), method, target, body).Union()};
}

body_offset pack(builder& out, store_answer const& m)
{
    auto const body = out.CreateString(m.body);
    return {fb::Body::StoreAnswer,
            fb::CreateStoreAnswer(out, m.number, m.status, m.sent, body).Union()};
}

body_offset pack(builder& out, list_request const& m)
{
    auto const prefix = out.CreateString(m.prefix);
    return {fb::Body::ListRequest,
            fb::CreateListRequest(out, m.number, prefix, m.source, m.version, m.longest_age.count())
                .Union()};
}

body_offset pack(builder& out, list_answer const& m)
{
    std::vector<flatbuffers::Offset<fb::ListItem>> items;
    items.reserve(m.changes.items.size());
    for (auto const& item : m.changes.items)
    {
        items.push_back(fb::CreateListItem(out, out.CreateString(item.key),
                                           out.CreateString(item.value), item.revision));
    }
    auto const item_list = out.CreateVector(items);
    auto const removed = out.CreateVectorOfStrings(m.changes.removed);
    return {fb::Body::ListAnswer,
            fb::CreateListAnswer(out, m.number, m.available, m.begin_age.count(), m.end_age.count(),
                                 m.changes.source, m.changes.version, m.changes.whole, item_list,
                                 removed)
                .Union()};
}

body_offset pack(builder& out, weights_loading const& m)
{
    auto const upstream = out.CreateString(m.upstream);
    auto const model = out.CreateString(m.model);
    return {fb::Body::WeightsLoading,
            fb::CreateWeightsLoading(out, upstream, model, m.version, m.remaining.count()).Union()};
}

body_offset pack(builder& out, permit_request const& m)
{
    auto const upstream = out.CreateString(m.upstream);
    return {fb::Body::PermitRequest,
            fb::CreatePermitRequest(out, m.number, upstream, m.requests_per_s).Union()};
}

body_offset pack(builder& out, permit_answer const& m)
{
    return {fb::Body::PermitAnswer,
            fb::CreatePermitAnswer(out, m.number, m.granted, m.retry_after.count()).Union()};
}

body_offset pack(builder& out, ping const&)
{
    return {fb::Body::Ping, fb::CreatePing(out).Union()};
}

} // namespace

base::result<std::string> encode(frame const& value)
{
    builder out(512);
    auto const [type, offset] =
        std::visit([&out](auto const& body) { return pack(out, body); }, value.body);
    std::vector<fb::NamedChange> announced;
    for (auto const& change : value.stamp.announced)
    {
        announced.emplace_back(change.version, change.hash);
    }
    auto const announced_offset = announced.empty() ? 0 : out.CreateVectorOfStructs(announced);
    fb::FinishFrameBuffer(
        out, fb::CreateFrame(out, value.stamp.config_version, base::micros(value.sent_at),
                             value.sent_mono_us, value.echo_mono_us, value.stamp.standing,
                             value.stamp.host_leaving, announced_offset, type, offset));
    if (out.GetSize() > max_frame_bytes)
    {
        return base::fail(base::result_code::frame_too_large,
                          fmt::format("frame of {} bytes exceeds the limit of {} bytes",
                                      out.GetSize(), max_frame_bytes));
    }
    std::string bytes(length_bytes + out.GetSize(), '\0');
    flatbuffers::WriteScalar(bytes.data(), static_cast<std::uint32_t>(out.GetSize()));
    std::copy_n(reinterpret_cast<char const*>(out.GetBufferPointer()), out.GetSize(),
                bytes.data() + length_bytes);
    return bytes;
}

} // namespace gooseberrywood::wire
