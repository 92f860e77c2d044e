#include "entry/caller_request.hpp"

#include "base/hash.hpp"
#include "completion/parse_body.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace gooseberrywood::entry
{

namespace
{

using base::result_code;
using nlohmann::json;

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view text_path = "/v1/completions";

// Tokens that a model generates when the caller does not say, as in the OpenAI API.
constexpr std::uint64_t default_max_tokens = 16;

constexpr std::uint64_t max_tokens_limit = 1'000'000;

// Bytes of an average token of English text; only estimates depend on it.
constexpr std::size_t bytes_per_token = 4;

// Engines cache whole blocks of a prompt; this is a few blocks, enough to tell prompts apart.
constexpr std::size_t prefix_bytes = 256;

base::result<std::string> prompt_text(json const& body, bool chat)
{
    if (!chat)
    {
        auto const at = body.find("prompt");
        if (at == body.end() || !at->is_string())
        {
            return base::fail(result_code::bad_request, "\"prompt\" must be a string");
        }
        return at->get<std::string>();
    }
    auto const at = body.find("messages");
    if (at == body.end() || !at->is_array() || at->empty())
    {
        return base::fail(result_code::bad_request, "\"messages\" must be a non-empty array");
    }
    return at->dump(-1, ' ', false, json::error_handler_t::replace);
}

base::result<void> check_options(json const& body)
{
    auto const count = body.find("n");
    if (count != body.end() && *count != 1)
    {
        return base::fail(result_code::bad_request, "\"n\" must be 1");
    }
    auto const stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean())
    {
        return base::fail(result_code::bad_request, "\"stream\" must be true or false");
    }
    auto const tokens = body.find("max_tokens");
    bool const valid = tokens == body.end() ||
                       (tokens->is_number_unsigned() && tokens->get<std::uint64_t>() >= 1 &&
                        tokens->get<std::uint64_t>() <= max_tokens_limit);
    if (!valid)
    {
        return base::fail(result_code::bad_request,
                          fmt::format("\"max_tokens\" must be 1 to {}", max_tokens_limit));
    }
    return {};
}

base::result<void> read_model_body(json const& body, caller_request& out)
{
    if (auto options = check_options(body); !options)
    {
        return options;
    }
    auto prompt = prompt_text(body, out.chat);
    if (!prompt)
    {
        return tl::unexpected(prompt.error());
    }
    out.stream = body.value("stream", false);
    auto const tokens = body.value("max_tokens", default_max_tokens);
    out.cost = static_cast<std::uint32_t>(prompt->size() / bytes_per_token + tokens);
    out.prompt_prefix = prompt->substr(0, prefix_bytes);
    return {};
}

std::optional<std::string_view> bearer_key(caller_input const& input)
{
    constexpr std::string_view scheme = "bearer ";
    if (!input.authorization || input.authorization->size() <= scheme.size())
    {
        return std::nullopt;
    }
    bool const matches = std::equal(
        scheme.begin(), scheme.end(), input.authorization->begin(),
        [](char wanted, char c) { return wanted == (c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c); });
    return matches ? std::optional(input.authorization->substr(scheme.size())) : std::nullopt;
}

base::result<void> check_key(caller_input const& input, bundle::bundle const& bundle,
                             bundle::route const& route, caller_request& out)
{
    if (route.open)
    {
        out.team = route.open_team;
        return {};
    }
    auto const key = bearer_key(input);
    if (!key)
    {
        return base::fail(result_code::key_missing,
                          fmt::format("route {} needs \"Authorization: Bearer KEY\"", route.name));
    }
    out.key_hash = base::sha256_hex(*key);
    auto const* team = bundle::find_team_by_key(bundle, out.key_hash);
    if (team == nullptr)
    {
        return base::fail(result_code::key_unknown, "the key is not known, or was withdrawn");
    }
    if (!bundle::may_use(*team, route))
    {
        return base::fail(result_code::key_not_allowed,
                          fmt::format("team {} may not use route {}", team->name, route.name));
    }
    out.team = team->name;
    return {};
}

base::result<bundle::route const*> find_model_route(json const& body, bundle::bundle const& bundle)
{
    auto const model = body.find("model");
    if (model == body.end() || !model->is_string())
    {
        return base::fail(result_code::bad_request, "\"model\" must be a string");
    }
    auto const& name = model->get_ref<std::string const&>();
    auto const* route = bundle::find_route(bundle, name);
    if (route == nullptr || route->kind != bundle::route_kind::model)
    {
        return base::fail(result_code::unknown_route, fmt::format("no model {}", name));
    }
    return route;
}

caller_request copy_input(caller_input const& input, bundle::route const& route)
{
    caller_request out;
    out.route = route.name;
    out.kind = route.kind;
    out.method = input.method;
    out.path = fmt::format("{}{}", input.path, input.query);
    out.content_type = input.content_type;
    out.body = input.body;
    out.idempotency_key = input.idempotency_key.value_or("");
    return out;
}

base::result<caller_request> parse_model(caller_input const& input, bundle::bundle const& bundle)
{
    if (input.method != "POST")
    {
        return base::fail(result_code::bad_request,
                          fmt::format("{} needs the method POST", input.path));
    }
    auto const body = completion::parse_body(input.body);
    if (!body)
    {
        return tl::unexpected(body.error());
    }
    auto const route = find_model_route(*body, bundle);
    if (!route)
    {
        return tl::unexpected(route.error());
    }
    auto out = copy_input(input, **route);
    out.chat = input.path == chat_path;
    if (auto const key = check_key(input, bundle, **route, out); !key)
    {
        return tl::unexpected(key.error());
    }
    if (auto const read = read_model_body(*body, out); !read)
    {
        return tl::unexpected(read.error());
    }
    return out;
}

base::result<caller_request> parse_service(caller_input const& input, bundle::bundle const& bundle)
{
    auto const* route = bundle::find_service(bundle, input.path);
    if (route == nullptr)
    {
        return base::fail(result_code::unknown_route, fmt::format("no route for {}", input.path));
    }
    auto out = copy_input(input, *route);
    auto const& methods = route->idempotent_methods;
    out.idempotent = std::find(methods.begin(), methods.end(), input.method) != methods.end();
    if (auto const key = check_key(input, bundle, *route, out); !key)
    {
        return tl::unexpected(key.error());
    }
    return out;
}

} // namespace

base::result<caller_request> parse(caller_input const& input, bundle::bundle const& bundle)
{
    bool const is_model = input.path == chat_path || input.path == text_path;
    auto out = is_model ? parse_model(input, bundle) : parse_service(input, bundle);
    if (out)
    {
        out->fingerprint = base::hash64(
            fmt::format("{}\n{}\n{}\n{}", out->route, out->team, out->path, out->body));
    }
    return out;
}

} // namespace gooseberrywood::entry
