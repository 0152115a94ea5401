#include "configuration/ini_document.h"

#include "configuration/key_table.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <fmt/format.h>

#include <map>
#include <set>
#include <sstream>

namespace crocuslane {

namespace {

constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";

std::string withSingleSpaces(std::string_view text)
{
    std::string result;
    bool isSpacePending = false;
    for (const char character : trimmed(text)) {
        if (character == ' ' || character == '\t') {
            isSpacePending = true;
            continue;
        }
        if (isSpacePending) {
            result += ' ';
        }
        isSpacePending = false;
        result += character;
    }
    return result;
}

/// Scans the lines of a text before Boost.PropertyTree parses it, because PropertyTree stops at the first fault, keeps
/// no line numbers and drops sections without keys. Records the line of each section and key, reports every faulty
/// line, and builds a text without faulty lines in which each section is named by its index.
class line_scanner
{
public:
    explicit line_scanner(std::string_view text)
    {
        if (text.starts_with(byteOrderMark)) {
            text.remove_prefix(byteOrderMark.size());
        }
        while (!text.empty()) {
            const std::size_t end = text.find('\n');
            ++m_line;
            addLine(trimmed(text.substr(0, end)));
            m_validText += '\n';
            text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        }
    }

    const std::string &validText() const
    {
        return m_validText;
    }

    ini_document takeDocument()
    {
        return std::move(m_document);
    }

private:
    void report(problem_code code, std::string key, std::string found, std::string allowed)
    {
        std::string section = m_document.sections.empty() ? std::string() : printable(m_document.sections.back().name);
        m_document.problems.push_back(
            {code, m_line, std::move(section), std::move(key), std::move(found), std::move(allowed)});
    }

    void addLine(std::string_view line)
    {
        if (line.empty() || line.front() == '#' || line.front() == ';') {
            return;
        }
        if (line.front() == '[') {
            addSection(line);
            return;
        }
        addEntry(line);
    }

    void addSection(std::string_view line)
    {
        const bool isClosed = line.back() == ']' && line.find(']') == line.size() - 1;
        const std::string name = withSingleSpaces(line.substr(1, line.find(']') - 1));
        if (!isClosed || name.empty()) {
            report(problem_code::syntax, {}, fmt::format("'{}'", printable(line)), "[section] as the whole line");
        }
        // Keys below a faulty or duplicate header are still checked, as a separate section.
        m_document.sections.push_back({name, m_line, {}});
        m_keys.clear();
        const auto [first, isNew] = m_sectionLines.emplace(name, m_line);
        if (!isNew) {
            report(problem_code::duplicate,
                   {},
                   "a duplicate section",
                   fmt::format("one section of this name (line {})", first->second));
        }
        m_validText += fmt::format("[{}]", m_document.sections.size() - 1);
    }

    void addEntry(std::string_view line)
    {
        const std::size_t equals = line.find('=');
        const std::string key(trimmed(line.substr(0, equals)));
        if (equals == std::string_view::npos || key.empty()) {
            report(
                problem_code::syntax, {}, fmt::format("'{}'", printable(line)), "key = value, [section] or # comment");
            return;
        }
        if (m_document.sections.empty()) {
            report(problem_code::syntax, printable(key), "a key before the first section", "keys inside a section");
            return;
        }
        const auto [first, isNew] = m_keys.emplace(key, m_line);
        if (!isNew) {
            report(problem_code::duplicate,
                   printable(key),
                   "a duplicate key",
                   fmt::format("one key of this name (line {})", first->second));
            return;
        }
        m_document.sections.back().entries.push_back({key, {}, m_line});
        m_validText += line;
    }

    ini_document m_document;
    std::string m_validText;
    std::size_t m_line = 0;
    std::map<std::string, std::size_t> m_sectionLines;
    std::map<std::string, std::size_t> m_keys;
};

void fillValues(ini_document &document, const boost::property_tree::ptree &tree)
{
    for (std::size_t index = 0; index < document.sections.size(); ++index) {
        const auto section = tree.find(std::to_string(index));
        if (section == tree.not_found()) {
            continue;
        }
        for (ini_entry &entry : document.sections[index].entries) {
            const auto child = section->second.find(entry.key);
            if (child != section->second.not_found()) {
                entry.value = child->second.data();
            }
        }
    }
}

} // namespace

const ini_entry *ini_section::find(std::string_view key) const
{
    for (const ini_entry &entry : entries) {
        if (entry.key == key) {
            return &entry;
        }
    }
    return nullptr;
}

std::size_t ini_section::lineOf(std::string_view key) const
{
    const ini_entry *entry = find(key);
    return entry == nullptr ? line : entry->line;
}

ini_document parseIni(std::string_view text)
{
    if (text.size() > maximumTextBytes) {
        ini_document document;
        document.problems.push_back({problem_code::syntax,
                                     0,
                                     {},
                                     {},
                                     fmt::format("a text of {} bytes", text.size()),
                                     fmt::format("at most {} bytes", maximumTextBytes)});
        return document;
    }
    line_scanner index(text);
    std::istringstream stream(index.validText());
    ini_document document = index.takeDocument();
    boost::property_tree::ptree tree;
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        document.problems.push_back({problem_code::syntax, error.line(), {}, {}, error.message(), "an INI text"});
    }
    fillValues(document, tree);
    return document;
}

} // namespace crocuslane
