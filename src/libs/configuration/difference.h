#pragma once

#include "configuration/configuration.h"

namespace crocuslane {

enum class change_type {
    added,
    removed,
    changed,
};

/// One difference between two configurations: an added or removed section, or a key with a changed value.
struct configuration_change {
    change_type type = change_type::changed;
    /// Name of the section as in the text, such as "version small@2".
    std::string section;
    /// Empty when the whole section was added or removed.
    std::string key;
    std::string oldValue;
    std::string newValue;
};

std::string_view toName(change_type type);
/// Compares the values; ignores comments, order and spacing of the texts. Removals and changed keys come first, then
/// additions, each ordered by section.
std::vector<configuration_change> diffConfigurations(const configuration &before, const configuration &after);
/// One line without a line end: "~ [version small@2] canary_percent: 1 -> 5".
std::string toText(const configuration_change &change);

} // namespace crocuslane
