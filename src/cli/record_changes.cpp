#include "cli/record_changes.hpp"

#include "bundle/parse.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace gooseberrywood::cli::detail
{

namespace
{

using base::result_code;

bool contains(std::vector<std::string> const& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// The domains of the stored bundle; an error if a domain is not one of them.
base::result<std::vector<std::string>> known_domains(config::record const& current,
                                                     std::string_view domain)
{
    if (current.version == 0)
    {
        return base::fail(result_code::not_found,
                          "the store holds no configuration; use bundle apply first");
    }
    auto parsed = bundle::parse(current.bundle_text, "stored bundle");
    if (!parsed)
    {
        return tl::unexpected(parsed.error());
    }
    if (!contains(parsed->domains, domain))
    {
        return base::fail(result_code::not_found,
                          fmt::format("no failure domain \"{}\"; the bundle has {}", domain,
                                      fmt::join(parsed->domains, ", ")));
    }
    return std::move(parsed->domains);
}

} // namespace

base::result<config::record> with_bundle(config::record const& current,
                                         checked_bundle const& wanted)
{
    auto made = current;
    made.bundle_text = wanted.text;
    made.bundle_signature = wanted.signature;
    if (current.version == 0)
    {
        return made;
    }
    auto const stored = bundle::parse(current.bundle_text, "stored bundle");
    if (!stored)
    {
        // A stored bundle that nobody can use must not keep operators from replacing it.
        return made;
    }
    if (stored->deployment != wanted.content.deployment)
    {
        return base::fail(result_code::bundle_invalid,
                          fmt::format("the bundle is of deployment {}, the store serves {}",
                                      wanted.content.deployment, stored->deployment));
    }
    // Processes refuse an older bundle. An equal version with another text would let a recorded
    // bundle be sent again in place of the one in effect.
    bool const same_text = current.bundle_text == wanted.text;
    if (wanted.content.version < stored->version ||
        (wanted.content.version == stored->version && !same_text))
    {
        return base::fail(
            result_code::version_too_old,
            fmt::format("the bundle has version = {}, the stored one {}; raise it and sign again",
                        wanted.content.version, stored->version));
    }
    std::erase_if(made.domains_out, [&](std::string const& domain)
                  { return !contains(wanted.content.domains, domain); });
    return made;
}

base::result<config::record> with_domain_out(config::record const& current, std::string_view domain,
                                             bool force)
{
    auto const known = known_domains(current, domain);
    if (!known)
    {
        return tl::unexpected(known.error());
    }
    auto made = current;
    if (!contains(made.domains_out, domain))
    {
        made.domains_out.emplace_back(domain);
    }
    bool const any_in =
        std::any_of(known->begin(), known->end(),
                    [&](std::string const& one) { return !contains(made.domains_out, one); });
    if (!any_in && !force)
    {
        return base::fail(
            result_code::usage,
            fmt::format("{} is the last failure domain that is in, and nothing would be served "
                        "without it; --force takes it out all the same",
                        domain));
    }
    return made;
}

base::result<config::record> with_domain_in(config::record const& current, std::string_view domain)
{
    auto const known = known_domains(current, domain);
    if (!known)
    {
        return tl::unexpected(known.error());
    }
    auto made = current;
    std::erase(made.domains_out, domain);
    return made;
}

} // namespace gooseberrywood::cli::detail
