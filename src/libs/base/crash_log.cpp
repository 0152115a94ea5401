#include "base/crash_log.h"

#include <execinfo.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <string_view>
#include <tuple>

/// First byte of the program in memory; defined by the linker.
extern "C" const char __executable_start; // NOLINT(readability-identifier-naming,bugprone-reserved-identifier)

namespace crocuslane {

namespace {

constexpr std::array fatalSignals{SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
constexpr std::size_t maximumNameBytes = 128;
constexpr std::size_t maximumLineBytes = 1024;
// The handler has a stack of its own, so that it also runs after a stack overflow.
constexpr std::size_t handlerStackBytes = 65536;
constexpr std::size_t maximumReasonBytes = 256;
constexpr int maximumFrames = 16;
constexpr unsigned hexadecimalBase = 16;

std::array<char, maximumNameBytes> processName{};
std::array<char, maximumReasonBytes> exceptionText{};
alignas(std::max_align_t) std::array<char, handlerStackBytes> handlerStack{};
int endingSignal = 0;

/// A line of text in a fixed buffer. A signal handler must not allocate memory.
class crash_line
{
public:
    void append(std::string_view text)
    {
        const std::size_t count = std::min(text.size(), m_buffer.size() - m_size);
        std::copy_n(text.data(), count, m_buffer.data() + m_size);
        m_size += count;
    }

    void appendHexadecimal(std::uintptr_t value)
    {
        std::array<char, 2 * sizeof value> digits{};
        std::size_t begin = digits.size();
        do {
            digits[--begin] = "0123456789abcdef"[value % hexadecimalBase];
            value /= hexadecimalBase;
        } while (value > 0);
        append("0x");
        append({digits.data() + begin, digits.size() - begin});
    }

    /// Writes what was appended, unless that could block: a reader that has stalled must not keep the process alive.
    void flush()
    {
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0) {
            std::ignore = ::write(STDOUT_FILENO, m_buffer.data(), m_size);
        }
        m_size = 0;
    }

private:
    std::array<char, maximumLineBytes> m_buffer{};
    std::size_t m_size = 0;
};

std::string_view nameOf(int signal)
{
    switch (signal) {
    case SIGSEGV:
        return "SIGSEGV";
    case SIGBUS:
        return "SIGBUS";
    case SIGILL:
        return "SIGILL";
    case SIGFPE:
        return "SIGFPE";
    default:
        return "SIGABRT";
    }
}

void appendStack(crash_line &line)
{
    std::array<void *, maximumFrames> frames{};
    const int count = ::backtrace(frames.data(), maximumFrames);
    const auto start = reinterpret_cast<std::uintptr_t>(&__executable_start);
    line.append(" stack=");
    for (int index = 0; index < count; ++index) {
        line.append(index == 0 ? "" : ",");
        line.appendHexadecimal(reinterpret_cast<std::uintptr_t>(frames[static_cast<std::size_t>(index)]) - start);
    }
}

[[noreturn]] void endBy(int signal)
{
    std::signal(signal, SIG_DFL);
    std::raise(signal);
    ::_exit(EXIT_FAILURE);
}

void handleFaultInHandler(int /*signal*/)
{
    crash_line line;
    line.append("\n");
    line.flush();
    endBy(endingSignal);
}

void writeCrash(int signal, siginfo_t *information, void * /*context*/)
{
    crash_line line;
    line.append("level=error process=");
    line.append(processName.data());
    line.append(" event=process_crashed signal=");
    line.append(nameOf(signal));
    if (signal != SIGABRT) {
        line.append(" address=");
        line.appendHexadecimal(reinterpret_cast<std::uintptr_t>(information->si_addr));
    }
    if (exceptionText.front() != '\0') {
        line.append(" exception=\"");
        line.append(exceptionText.data());
        line.append("\"");
    }
    line.flush();
    // A damaged stack can't be walked. The process then ends by the signal that came first.
    endingSignal = signal;
    std::signal(SIGSEGV, &handleFaultInHandler);
    std::signal(SIGBUS, &handleFaultInHandler);
    appendStack(line);
    line.append("\n");
    line.flush();
    endBy(signal);
}

void keepText(std::string_view text)
{
    const std::size_t count = std::min(text.size(), exceptionText.size() - 1);
    // The text may hold bytes from outside; a line break or a quotation mark would end the field.
    std::transform(text.begin(),
                   text.begin() + static_cast<std::ptrdiff_t>(count),
                   exceptionText.begin(),
                   [](char each) { return each < ' ' || each == '"' ? '?' : each; });
}

[[noreturn]] void endAtException()
{
    if (const std::exception_ptr current = std::current_exception()) {
        try {
            std::rethrow_exception(current);
        } catch (const std::exception &error) {
            keepText(error.what());
        } catch (...) {
            keepText("of another type");
        }
    }
    std::abort();
}

} // namespace

void installCrashLog(const std::string &process)
{
    const std::size_t count = std::min(process.size(), processName.size() - 1);
    std::copy_n(process.data(), count, processName.data());
    std::set_terminate(&endAtException);
    // The first call loads a library, which must not happen in a signal handler.
    std::array<void *, 1> frames{};
    ::backtrace(frames.data(), 1);

    stack_t stack{};
    stack.ss_sp = handlerStack.data();
    stack.ss_size = handlerStack.size();
    ::sigaltstack(&stack, nullptr);
    struct sigaction action = {};
    action.sa_sigaction = &writeCrash;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_NODEFER;
    for (const int signal : fatalSignals) {
        ::sigaction(signal, &action, nullptr);
    }
}

} // namespace crocuslane
