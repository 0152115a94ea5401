#pragma once

#include "configuration/configuration.h"

namespace crocuslane {

enum class change_type {
    added,
    removed,
    changed,
};

/// One difference between two configurations: a section that came or went, or a key with another value.
struct configuration_change {
    change_type type = change_type::changed;
    /// As in the text: "version small@2".
    std::string section;
    /// Empty when the whole section came or went.
    std::string key;
    std::string oldValue;
    std::string newValue;
};

std::string_view toName(change_type type);
/// Changes in order of the sections; comments, order and spacing of the texts don't matter.
std::vector<configuration_change> diffConfigurations(const configuration &before, const configuration &after);
/// One line without end of line: "~ [version small@2] canary_percent: 1 -> 5".
std::string toText(const configuration_change &change);

} // namespace crocuslane
