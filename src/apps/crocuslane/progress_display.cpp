#include "progress_display.h"

#include <ostream>

namespace crocuslane {

namespace {

/// Carriage return, and the control sequence that erases the line to its end.
constexpr const char *restartLine = "\r\033[K";

} // namespace

progress_display::progress_display(std::ostream &stream, bool isTerminal)
    : m_stream(stream)
    , m_isTerminal(isTerminal)
{
}

progress_display::~progress_display()
{
    if (m_isTerminal && !m_lastLine.empty()) {
        m_stream << '\n';
    }
}

void progress_display::update(const std::string &line)
{
    if (line == m_lastLine) {
        return;
    }
    m_lastLine = line;
    if (m_isTerminal) {
        m_stream << restartLine << line << std::flush;
        return;
    }
    m_stream << line << std::endl;
}

} // namespace crocuslane
