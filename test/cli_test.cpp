#include "base/file.hpp"
#include "base/hash.hpp"
#include "bundle.hpp"
#include "cli.hpp"

#include "test_files.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <libsoup/soup.h>
#include <unistd.h>

#include <cstdio>
#include <thread>

using namespace gooseberrywood;

namespace
{

struct outcome
{
    int exit_code = 0;
    std::string out;
    std::string err;
};

/// Sends one of the standard streams to a file for as long as this exists.
struct capture
{
    std::FILE* stream;
    std::FILE* file = std::tmpfile();
    int saved;

    explicit capture(std::FILE* captured) : stream(captured)
    {
        std::fflush(stream);
        saved = dup(fileno(stream));
        dup2(fileno(file), fileno(stream));
    }
    capture(capture const&) = delete;
    capture& operator=(capture const&) = delete;
    ~capture()
    {
        std::fflush(stream);
        dup2(saved, fileno(stream));
        close(saved);
        std::fclose(file);
    }

    std::string text() const
    {
        std::fflush(stream);
        std::rewind(file);
        std::string all;
        for (int c = std::fgetc(file); c != EOF; c = std::fgetc(file))
        {
            all += static_cast<char>(c);
        }
        return all;
    }
};

outcome run(std::vector<std::string> const& words)
{
    std::vector<char const*> argv = {"gooseberrywood"};
    for (auto const& word : words)
    {
        argv.push_back(word.c_str());
    }
    capture const out(stdout);
    capture const err(stderr);
    auto const exit_code = cli::run(static_cast<int>(argv.size()), argv.data());
    return {exit_code, out.text(), err.text()};
}

/// Serves GET /state on a loopback port with a given answer until it is destroyed.
struct state_server
{
    GMainContext* context = g_main_context_new();
    GMainLoop* loop = g_main_loop_new(context, FALSE);
    SoupServer* server = nullptr;
    std::string answer;
    std::string address;
    std::thread thread;

    explicit state_server(std::string text) : answer(std::move(text))
    {
        g_main_context_push_thread_default(context);
        server = soup_server_new(nullptr, nullptr);
        soup_server_add_handler(
            server, "/state",
            [](SoupServer*, SoupServerMessage* message, char const*, GHashTable*, gpointer data)
            {
                auto const& text = static_cast<state_server*>(data)->answer;
                soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
                soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY,
                                                 text.data(), text.size());
            },
            this, nullptr);
        soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr);
        GSList* uris = soup_server_get_uris(server);
        address = fmt::format("127.0.0.1:{}", g_uri_get_port(static_cast<GUri*>(uris->data)));
        g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
        g_main_context_pop_thread_default(context);
        thread = std::thread([this] { g_main_loop_run(loop); });
    }
    state_server(state_server const&) = delete;
    state_server& operator=(state_server const&) = delete;
    ~state_server()
    {
        // Quit from inside the loop: a call before the thread has entered it would be lost.
        g_main_context_invoke_full(
            context, G_PRIORITY_DEFAULT,
            [](gpointer data)
            {
                g_main_loop_quit(static_cast<GMainLoop*>(data));
                return gboolean{G_SOURCE_REMOVE};
            },
            loop, nullptr);
        thread.join();
        g_object_unref(server);
        g_main_loop_unref(loop);
        g_main_context_unref(context);
    }
};

} // namespace

SCENARIO("wrong command lines end with status 2 and one line that says where to look")
{
    struct example
    {
        std::vector<std::string> words;
        std::string message;
    };
    for (auto const& [words, message] : std::vector<example>{
             {{}, "a command is missing; see gooseberrywood --help"},
             {{"nothing"}, "there is no command \"nothing\"; see gooseberrywood --help"},
             {{"bundle"}, "bundle needs a further word; see gooseberrywood bundle --help"},
             {{"bundle", "x"},
              "there is no command \"bundle x\"; see gooseberrywood bundle --help"},
             {{"bundle", "check"},
              "bundle check takes 1 argument besides its flags, not 0; see gooseberrywood bundle "
              "check --help"},
             // Guards against flags of other subcommands and of gflags itself being accepted.
             {{"version", "--json"},
              "version has no flag --json; see gooseberrywood version --help"},
             {{"version", "--flagfile=x"},
              "version has no flag --flagfile; see gooseberrywood version --help"},
             {{"key", "new", "--team"}, "--team needs a value; see gooseberrywood key new --help"},
             {{"bundle", "show", "x", "--json=maybe"},
              "--json can't be \"maybe\"; see gooseberrywood bundle show --help"},
             {{"state", "--address", "localhost:1"},
              "state needs --address with a numeric address and a port, IP:port"},
         })
    {
        auto const ended = run(words);
        CHECK(ended.exit_code == 2);
        CHECK(ended.out.empty());
        CHECK(ended.err == fmt::format("gooseberrywood: {}\n", message));
    }
}

SCENARIO("help names every subcommand with its flags, examples and exit codes")
{
    auto const all = run({"--help"});
    CHECK(all.exit_code == 0);
    for (auto const& one : cli::commands())
    {
        CAPTURE(one.name);
        CHECK(all.out.find(fmt::format("\n  {}", one.name)) != std::string::npos);
        auto const space = one.name.find(' ');
        std::vector<std::string> words = {std::string(one.name.substr(0, space))};
        if (space != std::string_view::npos)
        {
            words.emplace_back(one.name.substr(space + 1));
        }
        words.emplace_back("--help");
        auto const help = run(words);
        CHECK(help.exit_code == 0);
        CHECK(help.out.find("\nExamples:\n  gooseberrywood ") != std::string::npos);
        CHECK(help.out.find("\n    2  usage (1): ") != std::string::npos);
        for (auto const flag : one.flags)
        {
            // Guards against a row that names a flag which no file defines.
            CHECK((flag.empty() ||
                   help.out.find(fmt::format("\n  --{}  ", flag)) != std::string::npos));
        }
    }
}

SCENARIO("operators check, sign and show a bundle")
{
    test::folder const folder;
    auto const file = folder.file("b.toml", "version = 4\ndeployment = \"zagorje\"\n"
                                            "domains = [\"krapina\"]\n[[routes]]\nname = \"r\"\n"
                                            "kind = \"model\"\n");
    auto const secret = folder.path("secret");

    auto const keys = run({"bundle", "keygen", "--secret_key_file", secret});
    REQUIRE(keys.exit_code == 0);
    auto const public_key = keys.out.substr(11, 64);

    THEN("the signature fits the file and the public key")
    {
        CHECK(run({"bundle", "sign", file, "--secret-key-file=" + secret}).exit_code == 0);
        auto const signature = base::read_file(file + ".sig");
        REQUIRE(signature.has_value());
        CHECK(bundle::verify(*base::read_file(file), signature->substr(0, 128), public_key));
    }
    THEN("an existing secret key is not overwritten")
    {
        auto const before = base::read_file(secret);
        CHECK(run({"bundle", "keygen", "--secret_key_file", secret}).exit_code == 74);
        CHECK(base::read_file(secret) == before);
    }
    THEN("the secret key is never printed when it goes to a file")
    {
        CHECK(keys.out.find("secret") == std::string::npos);
        CHECK(keys.out.size() == 11 + 64 + 1);
    }
    THEN("show fills in the defaults, and flags don't outlive their run")
    {
        auto const shown = run({"bundle", "show", "--json", file});
        CHECK(shown.out.find("\"timeout_s\": 120.0") != std::string::npos);
        CHECK(run({"bundle", "show", file}).out.starts_with("version 4 of zagorje\n"));
    }
    THEN("a faulty bundle is reported line by line and not signed")
    {
        auto const faulty = folder.file("f.toml", "version = 0\nx = 1\n");
        auto const expected =
            fmt::format("gooseberrywood: {0}:1: version: must be 1 to 9223372036854775807, not 0\n"
                        "gooseberrywood: {0}:1: deployment: is missing\n"
                        "gooseberrywood: {0}:1: domains: is missing\n"
                        "gooseberrywood: {0}:2: x: is unknown\n",
                        faulty);
        auto const checked = run({"bundle", "check", faulty});
        CHECK(checked.exit_code == 78);
        CHECK(checked.err == expected);
        CHECK(run({"bundle", "sign", faulty, "--secret_key_file", secret}).exit_code == 78);
        CHECK_FALSE(base::read_file(faulty + ".sig").has_value());
        CHECK(run({"bundle", "check", folder.path("none")}).exit_code == 4);
    }
}

SCENARIO("a new key comes with the hash that the bundle needs")
{
    auto const made = run({"key", "new", "--team", "lepoglava"});
    REQUIRE(made.exit_code == 0);
    auto const end = made.out.find('\n');
    auto const key = made.out.substr(0, end);
    CHECK(key.size() == 47);
    CHECK(made.out.substr(end + 1) ==
          fmt::format("key_hashes = [\"{}\"] # team lepoglava\n", base::sha256_hex(key)));
    CHECK(run({"key", "new", "--team", "lepoglava"}).out != made.out);
}

SCENARIO("the state of a process is printed readably")
{
    GIVEN("a process that answers")
    {
        state_server const server(R"({"b":[1],"a":2})");
        auto const shown = run({"state", "--address", server.address});
        CHECK(shown.out == "{\n  \"b\": [\n    1\n  ],\n  \"a\": 2\n}\n");
    }
    GIVEN("an answer that is not JSON")
    {
        state_server const server("<html>");
        CHECK(run({"state", "--address", server.address}).exit_code == 74);
    }
    GIVEN("nobody at the address")
    {
        std::string address;
        {
            address = state_server("").address;
        }
        CHECK(run({"state", "--address", address}).exit_code == 76);
    }
}

SCENARIO("output that can't be written is an error")
{
    // Guards against status 0 for a truncated file on a full disk.
    std::FILE* full = std::fopen("/dev/full", "w");
    REQUIRE(full != nullptr);
    std::fflush(stdout);
    auto const saved = dup(fileno(stdout));
    dup2(fileno(full), fileno(stdout));
    std::array<char const*, 2> const argv = {"gooseberrywood", "--help"};
    int exit_code = 0;
    std::string message;
    {
        capture const err(stderr);
        exit_code = cli::run(static_cast<int>(argv.size()), argv.data());
        message = err.text();
    }
    std::clearerr(stdout);
    dup2(saved, fileno(stdout));
    close(saved);
    std::fclose(full);
    CHECK(exit_code == 74);
    CHECK(message.starts_with("gooseberrywood: "));
}

SCENARIO("the program's version is that of the build")
{
    auto const build = base::read_file(test::source_path("CMakeLists.txt"));
    REQUIRE(build.has_value());
    CHECK(build->find(fmt::format("project(gooseberrywood VERSION {} ", cli::version)) !=
          std::string::npos);
    CHECK(run({"version"}).out == fmt::format("gooseberrywood {}\n", cli::version));
}
