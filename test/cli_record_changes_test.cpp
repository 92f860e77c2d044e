#include "cli/record_changes.hpp"

#include "bundle/parse.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace gooseberrywood;
using base::result_code;

namespace
{

cli::detail::checked_bundle make_bundle(int version, std::string const& domains,
                                        std::string const& deployment = "test")
{
    auto text = fmt::format("version = {}\ndeployment = \"{}\"\ndomains = [{}]\n"
                            "[[teams]]\nname = \"zlatar\"\n"
                            "[[routes]]\nname = \"planner-lm\"\nkind = \"model\"\n",
                            version, deployment, domains);
    auto parsed = bundle::parse(text, "bundle");
    REQUIRE_MESSAGE(parsed.has_value(), parsed.error().message);
    return {text, "signature", *parsed};
}

template <class T>
result_code code_of(base::result<T> const& outcome)
{
    return outcome ? result_code::ok : outcome.error().code;
}

} // namespace

SCENARIO("an operator's change of the stored record")
{
    auto const first = make_bundle(5, R"("krapina", "zabok")");
    auto stored = cli::detail::with_bundle({}, first);
    REQUIRE(stored.has_value());
    stored->version = 7;

    // Guards against a domain that silently comes back, or stays out under a name that is gone.
    WHEN("a bundle is applied while a domain is out")
    {
        auto const out = cli::detail::with_domain_out(*stored, "zabok", false);
        REQUIRE(out.has_value());
        CHECK(
            cli::detail::with_bundle(*out, make_bundle(6, R"("krapina", "zabok")"))->domains_out ==
            std::vector<std::string>{"zabok"});
        CHECK(cli::detail::with_bundle(*out, make_bundle(6, R"("krapina")"))->domains_out.empty());
        CHECK(cli::detail::with_domain_in(*out, "zabok")->domains_out.empty());
    }
    // Guards against a record that processes refuse, or a replayed older bundle.
    WHEN("the bundle is not newer, or of another deployment")
    {
        CHECK(code_of(cli::detail::with_bundle(*stored, make_bundle(4, R"("krapina")"))) ==
              result_code::version_too_old);
        CHECK(code_of(cli::detail::with_bundle(*stored, make_bundle(5, R"("krapina")"))) ==
              result_code::version_too_old);
        CHECK(code_of(cli::detail::with_bundle(*stored, first)) == result_code::ok);
        CHECK(code_of(cli::detail::with_bundle(*stored, make_bundle(6, R"("krapina")", "other"))) ==
              result_code::bundle_invalid);
    }
    // Guards against a mistyped domain that changes nothing and reports success.
    WHEN("the domain is unknown")
    {
        auto const outcome = cli::detail::with_domain_out(*stored, "zabbok", false);
        REQUIRE(code_of(outcome) == result_code::not_found);
        CHECK(outcome.error().message.find("krapina, zabok") != std::string::npos);
        CHECK(code_of(cli::detail::with_domain_in(*stored, "zabbok")) == result_code::not_found);
        CHECK(code_of(cli::detail::with_domain_out({}, "zabok", false)) == result_code::not_found);
    }
    // Guards against an operator who takes the whole service out by mistake.
    WHEN("the last domain that is in is taken out")
    {
        auto const one_out = cli::detail::with_domain_out(*stored, "zabok", false);
        CHECK(code_of(cli::detail::with_domain_out(*one_out, "krapina", false)) ==
              result_code::usage);
        CHECK(cli::detail::with_domain_out(*one_out, "krapina", true)->domains_out.size() == 2);
    }
}
