#pragma once

#include <iosfwd>
#include <string>

namespace crocuslane {

/// Shows the progress of a command: on a terminal as one line that is rewritten, otherwise as a new line for each
/// change.
class progress_display
{
public:
    progress_display(std::ostream &stream, bool isTerminal);
    ~progress_display();
    progress_display(const progress_display &) = delete;
    progress_display &operator=(const progress_display &) = delete;

    void update(const std::string &line);

private:
    std::ostream &m_stream;
    bool m_isTerminal;
    std::string m_lastLine;
};

} // namespace crocuslane
