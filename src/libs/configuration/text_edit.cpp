#include "configuration/text_edit.h"

#include "configuration/ini_document.h"
#include "configuration/key_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace crocuslane {

namespace {

/// Lines including their line ends.
std::vector<std::string> splitLines(std::string_view text)
{
    std::vector<std::string> lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        const std::size_t length = end == std::string_view::npos ? text.size() : end + 1;
        lines.emplace_back(text.substr(0, length));
        text.remove_prefix(length);
    }
    return lines;
}

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line;
    }
    return text;
}

const ini_section *findSection(const ini_document &document, std::string_view name)
{
    for (const ini_section &section : document.sections) {
        if (section.name == name) {
            return &section;
        }
    }
    return nullptr;
}

std::string versionSection(std::string_view version)
{
    return fmt::format("version {}", version);
}

/// Line after which a key is added to the section: that of its last key, or its header.
std::size_t lastLine(const ini_section &section)
{
    return section.entries.empty() ? section.line : section.entries.back().line;
}

} // namespace

std::string withKey(std::string_view text, std::string_view section, std::string_view key, std::string_view value)
{
    const ini_document document = parseIni(text);
    std::vector<std::string> lines = splitLines(text);
    if (!lines.empty() && lines.back().back() != '\n') {
        lines.back() += '\n';
    }
    const std::string line = fmt::format("{} = {}\n", key, value);
    const ini_section *target = findSection(document, section);
    if (target == nullptr) {
        lines.push_back(fmt::format("\n[{}]\n{}", section, line));
        return joinLines(lines);
    }
    if (const ini_entry *entry = target->find(key)) {
        lines[entry->line - 1] = line;
        return joinLines(lines);
    }
    lines.insert(lines.begin() + static_cast<std::ptrdiff_t>(lastLine(*target)), line);
    return joinLines(lines);
}

std::string withoutKey(std::string_view text, std::string_view section, std::string_view key)
{
    const ini_document document = parseIni(text);
    const ini_section *target = findSection(document, section);
    const ini_entry *entry = target == nullptr ? nullptr : target->find(key);
    if (entry == nullptr) {
        return std::string(text);
    }
    std::vector<std::string> lines = splitLines(text);
    lines.erase(lines.begin() + static_cast<std::ptrdiff_t>(entry->line - 1));
    return joinLines(lines);
}

std::string withListEntry(std::string_view text, std::string_view section, std::string_view key, std::string_view entry)
{
    const ini_document document = parseIni(text);
    const ini_section *target = findSection(document, section);
    const ini_entry *list = target == nullptr ? nullptr : target->find(key);
    std::vector<std::string> parts = list == nullptr ? std::vector<std::string>() : splitList(list->value);
    if (std::find(parts.begin(), parts.end(), entry) != parts.end()) {
        return std::string(text);
    }
    parts.emplace_back(entry);
    return withKey(text, section, key, joinList(parts));
}

std::string withCanary(std::string_view text, const canary_stage &stage)
{
    const std::string section = versionSection(stage.version);
    std::string edited = withKey(text, section, "state", "canary");
    edited = withKey(edited, section, "canary_percent", fmt::format("{}", stage.percent));
    return withKey(edited, section, "replaces", stage.replaces);
}

std::string withPromotion(std::string_view text, std::string_view version, std::string_view replaced)
{
    const std::string section = versionSection(version);
    std::string edited = withKey(text, section, "state", "active");
    edited = withoutKey(edited, section, "canary_percent");
    edited = withoutKey(edited, section, "replaces");
    return replaced.empty() ? edited : withKey(edited, versionSection(replaced), "state", "draining");
}

std::string withWithdrawal(std::string_view text, std::string_view version)
{
    const std::string section = versionSection(version);
    std::string edited = withKey(text, section, "state", "withdrawn");
    edited = withoutKey(edited, section, "canary_percent");
    return withoutKey(edited, section, "replaces");
}

std::string withSameRights(std::string_view text, std::string_view version, std::string_view reference)
{
    std::string edited(text);
    for (const ini_section &section : parseIni(text).sections) {
        const ini_entry *versions = section.name.starts_with("organisation ") ? section.find("versions") : nullptr;
        if (versions == nullptr) {
            continue;
        }
        const std::vector<std::string> allowed = splitList(versions->value);
        if (std::find(allowed.begin(), allowed.end(), reference) != allowed.end()) {
            edited = withListEntry(edited, section.name, "versions", version);
        }
    }
    return edited;
}

} // namespace crocuslane
