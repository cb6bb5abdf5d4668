#include "tests/standins/fake_log.h"
#include "tests/standins/log_standin.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(uint16_t, port, 7400, "port on 127.0.0.1; 0 chooses a free one");
ABSL_FLAG(uint32_t, retain_records, 0, "records kept per stream; 0 keeps all");

/// Serves the log protocol from an in-memory log until SIGTERM or SIGINT. Prints its endpoint once it is listening.
auto main(int argc, char **argv) -> int
{
    absl::SetProgramUsageMessage("stand-in for the platform's append-only log; see docs/OPERATIONS.md");
    // Abseil's flag names have underscores, so dashes in flag names are converted to them.
    std::vector<std::string> arguments(argv, argv + argc);
    std::vector<char *> pointers;
    for (std::string &argument : arguments) {
        if (argument.compare(0, 2, "--") == 0) {
            std::replace(argument.begin() + 2, argument.begin() + std::min(argument.find('='), argument.size()), '-', '_');
        }
        pointers.push_back(argument.data());
    }
    absl::ParseCommandLine(static_cast<int>(pointers.size()), pointers.data());
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    snipestream::testing::FakeLog log(absl::GetFlag(FLAGS_retain_records));
    const snipestream::testing::StandinServer server(
        [&log](const std::string &method, const std::string &target, const std::string &body) {
            return snipestream::testing::serveLogRequest(log, method, target, body);
        },
        absl::GetFlag(FLAGS_port));
    std::cout << "listening on " << toString(server.endpoint()) << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}
