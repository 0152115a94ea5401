#pragma once

#include <string>
#include <vector>

namespace crocuslane {

/// Text table with aligned columns. Numbers are aligned to the right.
class table
{
public:
    explicit table(std::vector<std::string> headings);
    void addRow(std::vector<std::string> cells);
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace crocuslane
