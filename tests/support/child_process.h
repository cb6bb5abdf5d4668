#pragma once

#include "core/time.h"

#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <cppunit/TestAssert.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

/// Declared here because clang-tidy 14 cannot parse <linux/stddef.h>, which <sys/prctl.h> includes.
extern "C" auto prctl(int option, ...) -> int; // NOLINT(cert-dcl50-cpp)

namespace snipestream::testing
{

/// Returns the folder of the build, in which the programs are.
inline auto buildDirectory() -> std::filesystem::path
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path();
}

/// How a child process is started.
struct ChildOptions {
    /// Program and arguments.
    std::vector<std::string> arguments;
    /// File that gets the output.
    std::string output;
    /// Set in the environment.
    std::optional<std::pair<std::string, std::string>> variable;
    /// Maximum number of open descriptors; zero leaves that of this process.
    rlim_t maxDescriptors = 0;
};

/// Starts a program. The kernel kills it when the test program ends, even if that crashes.
inline auto startChild(const ChildOptions &options) -> pid_t
{
    /// PR_SET_PDEATHSIG of <sys/prctl.h>.
    constexpr int kSetParentDeathSignal = 1;
    std::vector<char *> pointers;
    pointers.reserve(options.arguments.size() + 1);
    for (const auto &argument : options.arguments) {
        pointers.push_back(const_cast<char *>(argument.c_str())); // NOLINT(cppcoreguidelines-pro-type-const-cast)
    }
    pointers.push_back(nullptr);
    const pid_t parent = getpid();
    const pid_t pid = fork();
    CPPUNIT_ASSERT(pid >= 0);
    if (pid == 0) {
        prctl(kSetParentDeathSignal, SIGKILL);
        const int file = open(options.output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        const rlimit descriptors{options.maxDescriptors, options.maxDescriptors};
        if (getppid() != parent || file < 0 || dup2(file, STDOUT_FILENO) < 0 || dup2(file, STDERR_FILENO) < 0
            || (options.variable && setenv(options.variable->first.c_str(), options.variable->second.c_str(), 1) != 0)
            || (options.maxDescriptors != 0 && setrlimit(RLIMIT_NOFILE, &descriptors) != 0)) {
            _exit(126);
        }
        // Sockets of this process must not stay open in the child.
        constexpr int kMaxInherited = 4096;
        for (int inherited = STDERR_FILENO + 1; inherited < kMaxInherited; ++inherited) {
            close(inherited);
        }
        execv(pointers.front(), pointers.data());
        _exit(127);
    }
    return pid;
}

/// Waits for a child process to exit. Returns its wait status, or nothing if it has not exited within the limit.
inline auto awaitExit(pid_t pid, Duration limit) -> std::optional<int>
{
    const TimePoint end = BootClock::now() + limit;
    while (true) {
        int status = 0;
        if (waitpid(pid, &status, WNOHANG) == pid) {
            return status;
        }
        if (BootClock::now() >= end) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
}

inline void killProcess(pid_t &pid)
{
    if (pid > 0) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        pid = 0;
    }
}

/// Returns the peak resident set size of a process, in KiB, or zero if the process does not exist.
inline auto peakResidentKb(pid_t pid) -> long
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return std::stol(line.substr(6));
        }
    }
    return 0;
}

/// Returns the number of open descriptors of a process.
inline auto openDescriptors(pid_t pid) -> size_t
{
    std::error_code error;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(pid) + "/fd", error);
    return error ? 0 : static_cast<size_t>(std::distance(begin(files), end(files)));
}

} // namespace snipestream::testing
