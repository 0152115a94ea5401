#include "base/crash_log.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <stdexcept>
#include <string>

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace crocuslane;

namespace {

struct ended_process {
    std::string output;
    int signal = 0;
};

/// Runs @p body in a child process with a crash log, and waits for the child's end.
template<typename function>
ended_process runInChild(function body)
{
    std::array<int, 2> pipe{};
    REQUIRE(::pipe(pipe.data()) == 0);
    const pid_t child = ::fork();
    if (child == 0) {
        const rlimit noCoreFile{0, 0};
        ::setrlimit(RLIMIT_CORE, &noCoreFile);
        ::dup2(pipe[1], STDOUT_FILENO);
        installCrashLog("vm-1");
        body();
        ::_exit(0);
    }
    ::close(pipe[1]);
    ended_process result;
    std::array<char, 512> buffer{};
    for (ssize_t size = 1; size > 0;) {
        size = ::read(pipe[0], buffer.data(), buffer.size());
        result.output.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    }
    ::close(pipe[0]);
    int status = 0;
    ::waitpid(child, &status, 0);
    result.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return result;
}

void leaveExceptionUnhandled(const std::function<void()> &body) noexcept
{
    body();
}

} // namespace

// Guards against a process that ends without a word of why.
TEST_CASE("crash log, fatal signal, names the signal and where it came from", "[base]")
{
    const ended_process ended = runInChild([] { ::raise(SIGSEGV); });
    CHECK(ended.signal == SIGSEGV);
    CHECK(ended.output.find("level=error process=vm-1 event=process_crashed signal=SIGSEGV address=0x") == 0);
    CHECK(ended.output.find(" stack=0x") != std::string::npos);
    CHECK(ended.output.back() == '\n');
}

// Guards against an exception whose message is lost with the process.
TEST_CASE("crash log, unhandled exception, names its message", "[base]")
{
    const ended_process ended =
        runInChild([] { leaveExceptionUnhandled([] { throw std::runtime_error("no \"quotes\"\nand lines"); }); });
    CHECK(ended.signal == SIGABRT);
    CHECK(ended.output.find("signal=SIGABRT exception=\"no ?quotes??and lines\" stack=") != std::string::npos);
}
