#include "configuration/difference.h"

#include "base/name_table.h"
#include "configuration/schema.h"

#include <fmt/format.h>

#include <map>

namespace crocuslane {

namespace {

constexpr auto changeTypeNames = makeNameTable<change_type>({
    {change_type::added, "added"},
    {change_type::removed, "removed"},
    {change_type::changed, "changed"},
});

using key_values = std::map<std::string, std::string>;
using section_values = std::map<std::string, key_values>;

template<typename id_type, typename settings>
void addSections(section_values &sections,
                 std::string_view sectionType,
                 const std::map<id_type, settings> &entries,
                 std::span<const key_binding<settings>> bindings)
{
    for (const auto &[id, entry] : entries) {
        key_values &values = sections[fmt::format("{} {}", sectionType, id.value())];
        for (const key_binding<settings> &binding : bindings) {
            values[std::string(binding.rule.key)] = binding.format(entry);
        }
    }
}

section_values allSections(const configuration &configuration)
{
    section_values sections;
    addSections(sections, "service", configuration.services, serviceKeys());
    addSections(sections, "operation", configuration.operations, operationKeys());
    addSections(sections, "kind", configuration.kinds, kindKeys());
    addSections(sections, "model", configuration.models, modelKeys());
    addSections(sections, "version", configuration.versions, versionKeys());
    addSections(sections, "organisation", configuration.organisations, organisationKeys());
    addSections(sections, "group", configuration.callerGroups, callerGroupKeys());
    return sections;
}

std::string displayedValue(const std::string &value)
{
    return value.empty() ? "(empty)" : value;
}

} // namespace

std::string_view toName(change_type type)
{
    return changeTypeNames.name(type);
}

std::vector<configuration_change> diffConfigurations(const configuration &before, const configuration &after)
{
    const section_values oldSections = allSections(before);
    const section_values newSections = allSections(after);
    std::vector<configuration_change> changes;
    for (const auto &[section, oldValues] : oldSections) {
        const auto position = newSections.find(section);
        if (position == newSections.end()) {
            changes.push_back({change_type::removed, section, {}, {}, {}});
            continue;
        }
        for (const auto &[key, oldValue] : oldValues) {
            const std::string &newValue = position->second.at(key);
            if (oldValue != newValue) {
                changes.push_back({change_type::changed, section, key, oldValue, newValue});
            }
        }
    }
    for (const auto &[section, values] : newSections) {
        if (!oldSections.contains(section)) {
            changes.push_back({change_type::added, section, {}, {}, {}});
        }
    }
    return changes;
}

std::string toText(const configuration_change &change)
{
    switch (change.type) {
    case change_type::added:
        return fmt::format("+ [{}]", change.section);
    case change_type::removed:
        return fmt::format("- [{}]", change.section);
    case change_type::changed:
        break;
    }
    return fmt::format("~ [{}] {}: {} -> {}",
                       change.section,
                       change.key,
                       displayedValue(change.oldValue),
                       displayedValue(change.newValue));
}

} // namespace crocuslane
