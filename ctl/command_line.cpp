#include "ctl/command_line.h"

#include "config/change.h"
#include "config/settings.h"
#include "config/text.h"
#include "ctl/node_commands.h"
#include "ctl/rules_commands.h"

#include <algorithm>
#include <functional>

#include <absl/flags/reflection.h>

namespace snipestream
{

namespace
{

// Flags that a command requires; combined with '|'.
constexpr unsigned kNoFlags = 0;
constexpr unsigned kLogFlag = 1;
constexpr unsigned kNodesFlag = 2;
constexpr unsigned kByFlag = 4;
constexpr unsigned kReasonFlag = 8;

struct Command {
    /// The fixed words, such as "drain target".
    std::vector<std::string> words;
    /// Names of the arguments that follow.
    std::vector<std::string> arguments;
    unsigned requiredFlags = kNoFlags;
    const char *help = "";
    std::function<CtlReport(const CtlContext &, const CtlOptions &, const std::string &, const std::string &)> run;
};

auto commands() -> const std::vector<Command> &
{
    using Text = const std::string &;
    using Context = const CtlContext &;
    using Options = const CtlOptions &;
    static const std::vector<Command> table = {
        {{"check"},
         {"FILE"},
         kNoFlags,
         "check a rules file",
         [](Context, Options, Text file, Text) {
             return checkCommand(file);
         }},
        {{"diff"},
         {"FILE"},
         kLogFlag,
         "show what publishing the file would change",
         [](Context context, Options options, Text file, Text) {
             return diffCommand(context, options, file);
         }},
        {{"publish"},
         {"FILE"},
         kLogFlag | kByFlag,
         "publish the difference to the rules in force",
         [](Context context, Options options, Text file, Text) {
             return publishCommand(context, options, file);
         }},
        {{"export"},
         {},
         kLogFlag,
         "print the rules in force as a rules file",
         [](Context context, Options, Text, Text) {
             return exportCommand(context);
         }},
        {{"withdraw-key"},
         {"KEYID"},
         kLogFlag | kByFlag,
         "withdraw a key for ever",
         [](Context context, Options options, Text keyId, Text) {
             return withdrawKeyCommand(context, options, keyId);
         }},
        {{"key", "new"},
         {"TEAM", "KEYID"},
         kByFlag | kReasonFlag,
         "make a key; its secret is shown once",
         [](Context, Options options, Text team, Text keyId) {
             return newKeyCommand(options, team, keyId);
         }},
        {{"drain", "node"},
         {},
         kNodesFlag,
         "let nodes finish their work and end",
         [](Context context, Options options, Text, Text) {
             return drainNodesCommand(context, options);
         }},
        {{"drain", "target"},
         {"NAME"},
         kNodesFlag,
         "give the target of a node no new work",
         [](Context context, Options options, Text name, Text) {
             return drainTargetCommand(context, options, name);
         }},
        {{"status"},
         {},
         kNodesFlag,
         "show revision, offset and age of the configuration of nodes",
         [](Context context, Options options, Text, Text) {
             return statusCommand(context, options);
         }},
        {{"share"},
         {"TEAM"},
         kNodesFlag,
         "sum up what a team's share was spent on",
         [](Context context, Options options, Text team, Text) {
             return shareCommand(context, options, team);
         }},
        {{"explain"},
         {"HOST", "PATH"},
         kNodesFlag,
         "show where nodes would send a request now, and why, without sending it",
         [](Context context, Options options, Text host, Text path) {
             return explainCommand(context, options, host, path);
         }},
        {{"audit"},
         {},
         kNoFlags,
         "show the audit trail of the log, or of the nodes given",
         [](Context context, Options options, Text, Text) {
             return auditCommand(context, options);
         }},
        {{"events"},
         {},
         kNoFlags,
         "list the numbered log events",
         [](Context, Options, Text, Text) {
             return eventsCommand();
         }},
    };
    return table;
}

auto synopsis(const Command &command) -> std::string
{
    std::vector<std::string> words = command.words;
    words.insert(words.end(), command.arguments.begin(), command.arguments.end());
    if ((command.requiredFlags & kNodesFlag) != 0) {
        words.emplace_back("--nodes=A,...");
    }
    if ((command.requiredFlags & kReasonFlag) != 0) {
        words.emplace_back("--reason=WHY");
    }
    if ((command.requiredFlags & kByFlag) != 0) {
        words.emplace_back("--by=WHO");
    }
    return joined(words, " ");
}

auto matchesWords(const Command &command, const std::vector<std::string> &words) -> bool
{
    return words.size() >= command.words.size() && std::equal(command.words.begin(), command.words.end(), words.begin());
}

auto findCommand(const std::vector<std::string> &words) -> const Command *
{
    const auto &table = commands();
    const auto found = std::find_if(table.begin(), table.end(), [&words](const Command &command) {
        return matchesWords(command, words);
    });
    return found == table.end() ? nullptr : &*found;
}

/// Returns the message for a required flag that is missing or has an invalid value; empty if all flags are valid.
auto missingFlag(const Command &command, const CtlContext &context, const CtlOptions &options) -> std::string
{
    if ((command.requiredFlags & kByFlag) != 0 && trimmed(options.by).empty()) {
        return "--by=WHO is needed: who answers for this";
    }
    if (!isPrintableUtf8(options.by) || options.by.size() > kMaxOperatorNameBytes || options.changeId.size() > kMaxChangeIdBytes) {
        return "--by takes at most 200 printable bytes and --change-id at most 100";
    }
    if ((command.requiredFlags & kReasonFlag) != 0 && trimmed(options.reason).empty()) {
        return "--reason=WHY is needed: why the rule is wanted";
    }
    if ((command.requiredFlags & kNodesFlag) != 0 && context.nodes.empty()) {
        return "--nodes=ADDRESS:PORT,... is needed: the admin endpoints of the nodes";
    }
    if (options.wait && context.nodes.empty()) {
        return "--wait needs --nodes=ADDRESS:PORT,...: the nodes to wait for";
    }
    return {};
}

/// Returns the Abseil flag that an argument "--name" or "--name=value" refers to; null if there is none.
auto findFlag(const std::string &argument) -> absl::CommandLineFlag *
{
    std::string name = argument.substr(2, argument.find('=') - 2);
    std::replace(name.begin(), name.end(), '-', '_');
    return absl::FindCommandLineFlag(name);
}

} // namespace

auto usageText() -> std::string
{
    std::vector<std::vector<std::string>> rows;
    for (const Command &command : commands()) {
        rows.push_back({"  " + synopsis(command), command.help});
    }
    return "snipestreamctl operates snipestream: rules, keys, nodes and targets.\n\n"
           "usage: snipestreamctl [FLAGS] COMMAND\n\ncommands:\n"
        + formatTable(rows)
        + "\nflags:\n"
          "  --log=ADDRESS:PORT        the platform's log (default 127.0.0.1:7400)\n"
          "  --nodes=ADDRESS:PORT,...  admin endpoints of nodes (their targetListen)\n"
          "  --by=WHO                  who publishes; kept in the audit trail\n"
          "  --reason=WHY              why a key is wanted; part of its rule\n"
          "  --base=N                  revision the file was written against, instead of its \"# base revision:\"\n"
          "  --wait                    wait until the nodes have the change in force\n"
          "  --wait-timeout-s=N        longest wait (default 30)\n"
          "  --publish-timeout-s=N     longest time for publishing, repetitions included (default 30)\n"
          "  --call-timeout-ms=N       time for one call to the log or a node (default 2000)\n"
          "  --change-id=ID            repeat an earlier publication whose answer was lost\n"
          "  --output=text|json        form of the output (default text)\n"
          "  --help, --version\n"
          "\nexit codes:\n"
          "  0  done\n"
          "  1  refused, lost against another change, or invalid\n"
          "  2  wrong command or flag\n"
          "  3  the log or a node is not available in time\n";
}

auto parseFlags(const std::vector<std::string> &arguments) -> Result<std::vector<std::string>>
{
    std::vector<std::string> words;
    for (size_t i = 0; i < arguments.size(); ++i) {
        const std::string &argument = arguments[i];
        if (argument.compare(0, 2, "--") != 0 || argument.size() == 2) {
            words.push_back(argument);
            continue;
        }
        absl::CommandLineFlag *flag = findFlag(argument);
        if (flag == nullptr) {
            return failure(ErrorCode::InvalidInput, "there is no flag " + inQuotes(argument));
        }
        const size_t equals = argument.find('=');
        std::string value = equals == std::string::npos ? "true" : argument.substr(equals + 1);
        if (equals == std::string::npos && !flag->IsOfType<bool>()) {
            if (i + 1 == arguments.size()) {
                return failure(ErrorCode::InvalidInput, "the flag " + inQuotes(argument) + " needs a value");
            }
            value = arguments[++i];
        }
        std::string error;
        if (!flag->ParseFrom(value, &error)) {
            return failure(ErrorCode::InvalidInput, "the value " + inQuotes(value) + " of " + inQuotes(argument) + " is not valid");
        }
    }
    return words;
}

auto parseEndpoints(const std::string &text) -> Result<std::vector<Endpoint>>
{
    std::vector<Endpoint> endpoints;
    for (size_t begin = 0; begin < text.size();) {
        const size_t end = std::min(text.find(',', begin), text.size());
        const auto endpoint = parseEndpoint(trimmed(std::string_view(text).substr(begin, end - begin)));
        if (!endpoint) {
            return endpoint.error();
        }
        endpoints.push_back(endpoint.value());
        begin = end + 1;
    }
    return endpoints;
}

auto runCommand(const CtlContext &context, const CtlOptions &options, const std::vector<std::string> &words) -> CtlReport
{
    const Command *command = findCommand(words);
    if (command == nullptr) {
        const std::string given = joined(words, " ");
        return failedReport(ExitCode::Usage,
                            given.empty() ? "no command is given; see snipestreamctl --help"
                                          : "there is no command " + inQuotes(given) + "; see snipestreamctl --help");
    }
    const size_t given = words.size() - command->words.size();
    if (given != command->arguments.size()) {
        return failedReport(ExitCode::Usage, "the command is used as: snipestreamctl " + synopsis(*command));
    }
    const std::string missing = missingFlag(*command, context, options);
    if (!missing.empty()) {
        return failedReport(ExitCode::Usage, missing);
    }
    const std::string first = given > 0 ? words[command->words.size()] : std::string();
    const std::string second = given > 1 ? words[command->words.size() + 1] : std::string();
    return command->run(context, options, first, second);
}

} // namespace snipestream
