#pragma once

#include <algorithm>
#include <array>
#include <cstdio>
#include <stdexcept>
#include <string>

#include <unistd.h>

namespace crocuslane {

/// Redirects standard output to a pipe until finish() is called. The pipe takes 64 KiB.
class output_capture
{
public:
    output_capture()
    {
        if (::pipe(m_ends.data()) != 0) {
            throw std::runtime_error("cannot create a pipe");
        }
        std::fflush(stdout);
        m_savedOutput = ::dup(STDOUT_FILENO);
        ::dup2(m_ends[1], STDOUT_FILENO);
    }

    ~output_capture()
    {
        restore();
        ::close(m_ends[0]);
    }

    output_capture(const output_capture &) = delete;
    output_capture &operator=(const output_capture &) = delete;

    /// Returns what was written since the construction.
    std::string finish()
    {
        restore();
        constexpr std::size_t pipeBytes = 65536;
        std::string text(pipeBytes, '\0');
        const ssize_t size = ::read(m_ends[0], text.data(), text.size());
        text.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        return text;
    }

private:
    void restore()
    {
        if (m_savedOutput < 0) {
            return;
        }
        ::dup2(m_savedOutput, STDOUT_FILENO);
        ::close(m_savedOutput);
        ::close(m_ends[1]);
        m_savedOutput = -1;
    }

    std::array<int, 2> m_ends{};
    int m_savedOutput = -1;
};

} // namespace crocuslane
