#include "cli/commands.hpp"

namespace gooseberrywood::cli
{

namespace
{

using rc = base::result_code;

constexpr command_codes apply_codes = {rc::io_error,
                                       rc::not_found,
                                       rc::timeout,
                                       rc::settings_invalid,
                                       rc::bundle_invalid,
                                       rc::signature_invalid,
                                       rc::version_conflict,
                                       rc::version_too_old,
                                       rc::not_in_force_everywhere,
                                       rc::store_unavailable,
                                       rc::store_outcome_unknown,
                                       rc::platform_refused};

constexpr command_codes domain_codes = {rc::io_error,
                                        rc::not_found,
                                        rc::timeout,
                                        rc::settings_invalid,
                                        rc::bundle_invalid,
                                        rc::version_conflict,
                                        rc::not_in_force_everywhere,
                                        rc::store_unavailable,
                                        rc::store_outcome_unknown,
                                        rc::platform_refused};

// Columns: name, usage, summary, examples, arguments, flags, codes, function.
constexpr std::array table = {
    command{"entry",
            "--settings FILE",
            "Runs an entry: the process that callers reach.",
            "entry --settings examples/entry.toml",
            0,
            {"settings"},
            {rc::io_error, rc::not_found, rc::settings_invalid, rc::bundle_invalid},
            entry_command},
    command{"gateway",
            "[--settings FILE]",
            "Runs a gateway: the process that callers reach on the users' platform. Without the "
            "flag, the environment variable GOOSEBERRYWOOD_CONFIG names the settings file.",
            "gateway --settings /etc/gooseberrywood/boot.toml",
            0,
            {"settings"},
            {rc::io_error, rc::not_found, rc::settings_invalid},
            gateway_command},
    command{"agent",
            "--settings FILE",
            "Runs an agent: the process beside the upstreams of a host.",
            "agent --settings examples/agent.toml",
            0,
            {"settings"},
            {rc::io_error, rc::not_found, rc::settings_invalid, rc::bundle_invalid},
            agent_command},
    command{"bundle check",
            "FILE",
            "Checks a bundle and reports all its faults.",
            "bundle check examples/zagorje.toml",
            1,
            {},
            {rc::io_error, rc::not_found, rc::bundle_invalid},
            bundle_check_command},
    command{"bundle keygen",
            "[--secret_key_file NEWFILE]",
            "Makes a key pair for signing bundles; prints the public key, and the secret key too "
            "unless a file is given.",
            "bundle keygen --secret_key_file operators.secret",
            0,
            {"secret_key_file"},
            {rc::io_error},
            bundle_keygen_command},
    command{"bundle sign",
            "FILE --secret_key_file SECRETFILE",
            "Checks a bundle and writes its signature to FILE.sig.",
            "bundle sign bundle.toml --secret_key_file operators.secret",
            1,
            {"secret_key_file"},
            {rc::io_error, rc::not_found, rc::bundle_invalid},
            bundle_sign_command},
    command{"bundle show",
            "FILE [--json]",
            "Shows a bundle with its defaults filled in.",
            "bundle show bundle.toml\nbundle show bundle.toml --json",
            1,
            {"json"},
            {rc::io_error, rc::not_found, rc::bundle_invalid},
            bundle_show_command},
    command{"bundle apply",
            "FILE --settings SETTINGS [--expect VERSION]",
            "Makes a signed bundle the configuration: announces it to the agents, writes it to the "
            "platform's store and waits until it is in effect. Reads FILE and FILE.sig. The "
            "settings give platform_url and bundle_public_key; host and domain can both be "
            "\"operator\".",
            "bundle apply bundle.toml --settings examples/operator.toml\n"
            "bundle apply bundle.toml --settings examples/operator.toml --expect 41",
            1,
            {"settings", "expect"},
            apply_codes,
            bundle_apply_command},
    command{"domain out",
            "NAME --settings SETTINGS [--expect VERSION] [--force]",
            "Takes a failure domain out: it gets no new work, running requests finish. Settings as "
            "for bundle apply.",
            "domain out krapina --settings examples/operator.toml",
            1,
            {"settings", "expect", "force"},
            domain_codes,
            domain_out_command},
    command{"domain in",
            "NAME --settings SETTINGS [--expect VERSION]",
            "Takes a failure domain back in. Settings as for bundle apply.",
            "domain in krapina --settings examples/operator.toml",
            1,
            {"settings", "expect"},
            domain_codes,
            domain_in_command},
    command{"key new",
            "--team NAME",
            "Makes a key; prints the key and the line that adds it to the team in the bundle.",
            "key new --team lepoglava",
            0,
            {"team"},
            {},
            key_new_command},
    command{"state",
            "--address IP:port",
            "Prints the state of a process, read from its admin address.",
            "state --address 127.0.0.1:9100",
            0,
            {"address"},
            {rc::io_error, rc::not_found, rc::timeout, rc::connection_lost},
            state_command},
    command{
        "explain",
        "ID < LOGS",
        "Reads log lines of any number of processes from standard input, prints those about one "
        "request, sample, job, upstream or window in their order, and says how it ended.",
        "cat logs/*.jsonl | gooseberrywood explain 9c41d07be2a35f68",
        1,
        {},
        {rc::not_found},
        explain_command},
    command{"version",
            "",
            "Prints the version of this program.",
            "version",
            0,
            {},
            {},
            version_command},
};

} // namespace

std::span<command const> commands()
{
    return table;
}

} // namespace gooseberrywood::cli
