#pragma once

#include <iosfwd>
#include <string>

namespace crocuslane {

/// Shows how far a command is: one line that is rewritten on a terminal, otherwise a line for each change.
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
