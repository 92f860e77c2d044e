#include "base/file.hpp"
#include "base/result_code.hpp"

#include "test_files.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace gooseberrywood;

SCENARIO("docs/result-codes.md lists every result code as it is")
{
    // Guards against a code that is added, renamed or renumbered without the page: callers rely on
    // the numbers and on the column "not run".
    std::string table = "| number | name | HTTP status | exit code | not run | meaning |\n"
                        "|---:|---|---:|---:|---|---|\n";
    for (auto const& row : base::result_codes())
    {
        table += fmt::format("| {} | `{}` | {} | {} | {} | {} |\n", static_cast<unsigned>(row.code),
                             row.name, row.http_status, row.exit_code, row.not_run ? "yes" : "",
                             row.meaning);
    }
    auto const page = base::read_file(test::source_path("docs/result-codes.md"));
    REQUIRE(page.has_value());
    auto const from = page->find("| number |");
    REQUIRE(from != std::string::npos);
    auto const to = page->find("\n\n", from);
    CHECK(page->substr(from, to == std::string::npos ? to : to + 1 - from) == table);
}
