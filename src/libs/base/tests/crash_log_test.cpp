#include "base/crash_log.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace crocuslane;

namespace {

struct ended_process {
    std::string output;
    int signal = 0;
};

constexpr std::uintptr_t unmappedAddress = 0x1234000;

/// Faults at a known address.
[[gnu::noinline]] void writeToUnmappedAddress()
{
    *reinterpret_cast<volatile char *>(unmappedAddress) = 1; // NOLINT(performance-no-int-to-ptr)
}

[[gnu::noinline]] int useWholeStack(int depth) // NOLINT(misc-no-recursion)
{
    std::array<volatile char, 4096> block{};
    block[static_cast<std::size_t>(depth) % block.size()] = 1;
    return depth < 0 ? 0 : useWholeStack(depth + 1) + block[0];
}

/// Makes the end of the pipe that a child writes to full.
void fill(int pipeEnd)
{
    ::fcntl(pipeEnd, F_SETFL, O_NONBLOCK);
    const std::string block(4096, 'x');
    while (::write(pipeEnd, block.data(), block.size()) > 0) { }
    ::fcntl(pipeEnd, F_SETFL, 0);
}

/// Runs @p body in a child process with a crash log, and waits for the child's end. With @p isOutputFull, nothing is
/// read from the child's output until then.
ended_process runInChild(const std::function<void()> &body, bool isOutputFull = false)
{
    std::array<int, 2> pipe{};
    REQUIRE(::pipe(pipe.data()) == 0);
    if (isOutputFull) {
        fill(pipe[1]);
    }
    const pid_t child = ::fork();
    if (child == 0) {
        const rlimit noCoreFile{0, 0};
        ::setrlimit(RLIMIT_CORE, &noCoreFile);
        ::dup2(pipe[1], STDOUT_FILENO);
        installCrashLog("vm-1");
        ::alarm(5);
        body();
        ::_exit(0);
    }
    ::close(pipe[1]);
    ended_process result;
    int status = 0;
    if (isOutputFull) {
        ::waitpid(child, &status, 0);
    }
    std::array<char, 512> buffer{};
    for (ssize_t size = 1; size > 0;) {
        size = ::read(pipe[0], buffer.data(), buffer.size());
        result.output.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    }
    ::close(pipe[0]);
    if (!isOutputFull) {
        ::waitpid(child, &status, 0);
    }
    result.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return result;
}

void leaveExceptionUnhandled(const std::function<void()> &body) noexcept
{
    body();
}

} // namespace

// Guards against a process that ends without a word of why.
TEST_CASE("crash log, access to an unmapped address, names the signal, the address and the stack", "[base]")
{
    const ended_process ended = runInChild(&writeToUnmappedAddress);
    CHECK(ended.signal == SIGSEGV);
    CHECK(ended.output.find("level=error process=vm-1 event=process_crashed signal=SIGSEGV address=0x1234000 stack=0x")
          == 0);
    CHECK(ended.output.back() == '\n');
}

// Guards against a crashed process that stays alive because nobody reads its output.
TEST_CASE("crash log, output that nobody reads, does not keep the process alive", "[base]")
{
    CHECK(runInChild(&writeToUnmappedAddress, true).signal == SIGSEGV);
}

// Guards against a crash that is not logged because there is no stack left for the handler.
TEST_CASE("crash log, stack overflow, is logged", "[base]")
{
    const ended_process ended = runInChild([] { useWholeStack(0); });
    CHECK(ended.signal == SIGSEGV);
    CHECK(ended.output.find("event=process_crashed signal=SIGSEGV") != std::string::npos);
}

// Guards against an exception whose message is lost with the process.
TEST_CASE("crash log, unhandled exception, names its message", "[base]")
{
    const ended_process ended =
        runInChild([] { leaveExceptionUnhandled([] { throw std::runtime_error("no \"quotes\"\nand lines"); }); });
    CHECK(ended.signal == SIGABRT);
    CHECK(ended.output.find("signal=SIGABRT exception=\"no ?quotes??and lines\" stack=") != std::string::npos);
}
