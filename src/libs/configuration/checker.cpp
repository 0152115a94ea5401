#include "configuration/checker.h"

#include "base/digest.h"
#include "configuration/cross_checks.h"
#include "configuration/ini_document.h"
#include "configuration/schema.h"

#include <boost/leaf/error.hpp>
#include <fmt/format.h>

namespace crocuslane {

namespace {

constexpr std::string_view knownSections =
    "[service NAME], [operation NAME], [kind NAME], [model NAME], [version MODEL@VERSION], [organisation NAME], "
    "[group ORGANISATION/NAME]; a name has 1 to 64 characters of a-z 0-9 - _ .";

/// Both parts of an id such as "small@1"; two empty strings when it has no separator.
std::pair<std::string, std::string> splitId(std::string_view id, char separator)
{
    const std::size_t position = id.find(separator);
    if (position == std::string_view::npos) {
        return {};
    }
    return {std::string(id.substr(0, position)), std::string(id.substr(position + 1))};
}

bool isPairOfNames(std::string_view id, char separator)
{
    const auto [first, second] = splitId(id, separator);
    return isName(first) && isName(second);
}

class text_checker
{
public:
    explicit text_checker(std::string_view text)
        : m_document(parseIni(text))
    {
        m_result.problems = m_document.problems;
        m_configuration.text = text;
        for (const ini_section &section : m_document.sections) {
            m_sections.emplace(section.name, &section);
        }
    }

    check_result run()
    {
        for (const ini_section &section : m_document.sections) {
            readSection(section);
        }
        indexKeyHashes();
        addCrossCheckProblems();
        sortByLine(m_result.problems);
        if (m_result.problems.empty()) {
            m_result.value = std::move(m_configuration);
        }
        return std::move(m_result);
    }

private:
    void
    report(problem_code code, const ini_section &section, std::string_view key, std::string found, std::string allowed)
    {
        m_result.problems.push_back(
            {code, section.lineOf(key), printable(section.name), printable(key), std::move(found), std::move(allowed)});
    }

    void readSection(const ini_section &section)
    {
        const auto [sectionType, name] = splitId(section.name, ' ');
        if (sectionType == "service" && isName(name)) {
            service_settings settings;
            settings.id = service_id(name);
            readKeys(section, serviceKeys(), settings);
            m_configuration.services.emplace(settings.id, settings);
        } else if (sectionType == "operation" && isName(name)) {
            operation_settings settings;
            settings.id = operation_id(name);
            readKeys(section, operationKeys(), settings);
            m_configuration.operations.emplace(settings.id, settings);
        } else if (sectionType == "kind" && isName(name)) {
            kind_settings settings;
            settings.id = kind_id(name);
            readKeys(section, kindKeys(), settings);
            m_configuration.kinds.emplace(settings.id, settings);
        } else if (sectionType == "model" && isName(name)) {
            model_settings settings;
            settings.id = model_id(name);
            readKeys(section, modelKeys(), settings);
            m_configuration.models.emplace(settings.id, settings);
        } else if (sectionType == "version" && isPairOfNames(name, '@')) {
            version_settings settings;
            settings.id = version_id(name);
            settings.model = model_id(splitId(name, '@').first);
            readKeys(section, versionKeys(), settings);
            checkReference(section, {}, "model", settings.model.value());
            m_configuration.versions.emplace(settings.id, settings);
        } else if (sectionType == "organisation" && isName(name)) {
            organisation_settings settings;
            settings.id = organisation_id(name);
            readKeys(section, organisationKeys(), settings);
            m_configuration.organisations.emplace(settings.id, settings);
        } else if (sectionType == "group" && isPairOfNames(name, '/')) {
            caller_group_settings settings;
            settings.id = caller_group_id(name);
            settings.organisation = organisation_id(splitId(name, '/').first);
            readKeys(section, callerGroupKeys(), settings);
            checkReference(section, {}, "organisation", settings.organisation.value());
            m_configuration.callerGroups.emplace(settings.id, settings);
        } else {
            report(problem_code::unknown_section,
                   section,
                   {},
                   fmt::format("section [{}]", printable(section.name)),
                   std::string(knownSections));
        }
    }

    template<typename settings>
    void readKeys(const ini_section &section, std::span<const key_binding<settings>> bindings, settings &target)
    {
        for (const key_binding<settings> &binding : bindings) {
            const ini_entry *entry = section.find(binding.rule.key);
            if (entry != nullptr) {
                readKey(section, binding, *entry, target);
            } else if (binding.rule.isRequired) {
                report(problem_code::missing_key, section, binding.rule.key, "no such key", allowedText(binding.rule));
            }
        }
        for (const ini_entry &entry : section.entries) {
            checkKeyExists(section, bindings, entry);
        }
    }

    template<typename settings>
    void
    readKey(const ini_section &section, const key_binding<settings> &binding, const ini_entry &entry, settings &target)
    {
        const std::optional<key_value> value = parseValue(binding.rule, entry.value);
        if (!value) {
            report(problem_code::bad_value,
                   section,
                   entry.key,
                   fmt::format("'{}'", printable(entry.value)),
                   allowedText(binding.rule));
            return;
        }
        binding.store(target, *value);
        if (binding.rule.reference.empty()) {
            return;
        }
        if (const auto *name = std::get_if<std::string>(&*value)) {
            checkReference(section, entry.key, binding.rule.reference, *name);
        }
        if (const auto *names = std::get_if<std::vector<std::string>>(&*value)) {
            for (const std::string &name : *names) {
                checkReference(section, entry.key, binding.rule.reference, name);
            }
        }
    }

    template<typename settings>
    void
    checkKeyExists(const ini_section &section, std::span<const key_binding<settings>> bindings, const ini_entry &entry)
    {
        std::vector<std::string> names;
        for (const key_binding<settings> &binding : bindings) {
            if (binding.rule.key == entry.key) {
                return;
            }
            names.emplace_back(binding.rule.key);
        }
        report(problem_code::unknown_key, section, entry.key, "an unknown key", joinList(names));
    }

    void checkReference(const ini_section &section,
                        std::string_view key,
                        std::string_view sectionType,
                        const std::string &name)
    {
        const std::string sectionName = fmt::format("{} {}", sectionType, name);
        if (!m_sections.contains(sectionName)) {
            report(problem_code::unknown_reference,
                   section,
                   key,
                   fmt::format("{} '{}'", sectionType, printable(name)),
                   fmt::format("a {} that has a section [{}]", sectionType, printable(sectionName)));
        }
    }

    /// Skips keys that already have a problem: a rejected value was replaced by the default, so that a cross-check of
    /// it would be misleading.
    void addCrossCheckProblems()
    {
        std::set<std::pair<std::string, std::string>> reported;
        for (const configuration_problem &problem : m_result.problems) {
            reported.emplace(problem.section, problem.key);
        }
        for (const configuration_problem &problem : crossCheck(m_configuration, m_sections)) {
            if (!reported.contains({problem.section, problem.key})) {
                m_result.problems.push_back(problem);
            }
        }
    }

    void indexKeyHashes()
    {
        for (const auto &[id, group] : m_configuration.callerGroups) {
            for (const std::string &hash : group.keyHashes) {
                m_configuration.groupsByKeyHash.emplace(hash, id);
            }
        }
    }

    ini_document m_document;
    section_index m_sections;
    configuration m_configuration;
    check_result m_result;
};

} // namespace

check_result checkConfiguration(std::string_view text)
{
    return text_checker(text).run();
}

boost::leaf::result<configuration> readConfiguration(std::string_view text)
{
    check_result result = checkConfiguration(text);
    if (!result.value) {
        return boost::leaf::new_error(configuration_error{std::move(result.problems)});
    }
    return std::move(*result.value);
}

std::string hashConfiguration(std::string_view text)
{
    return sha256Hex(text);
}

} // namespace crocuslane
