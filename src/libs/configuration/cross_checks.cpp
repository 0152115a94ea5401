#include "configuration/cross_checks.h"

#include <fmt/format.h>

#include <algorithm>

namespace crocuslane {

namespace {

constexpr double maximumPercent = 100.0;

class cross_checker
{
public:
    cross_checker(const configuration &configuration, const section_index &sections)
        : m_configuration(configuration)
        , m_sections(sections)
    {
    }

    std::vector<configuration_problem> run()
    {
        for (const auto &[id, service] : m_configuration.services) {
            checkService(service);
        }
        checkDependencies();
        for (const auto &[id, operation] : m_configuration.operations) {
            checkServiceType("operation " + id.value(), operation.service, service_type::plain);
        }
        for (const auto &[id, kind] : m_configuration.kinds) {
            checkServiceType("kind " + id.value(), kind.service, service_type::model);
        }
        for (const auto &[id, version] : m_configuration.versions) {
            checkVersion(version);
        }
        checkCanaryShares();
        for (const auto &[id, organisation] : m_configuration.organisations) {
            checkOrganisation(organisation);
        }
        for (const auto &[id, group] : m_configuration.callerGroups) {
            checkGroup(group);
        }
        checkOperatorGroup();
        return std::move(m_problems);
    }

private:
    void report(const std::string &section, std::string_view key, std::string found, std::string allowed)
    {
        const auto position = m_sections.find(section);
        const std::size_t line = position == m_sections.end() ? 0 : position->second->lineOf(key);
        m_problems.push_back({problem_code::inconsistent,
                              line,
                              printable(section),
                              std::string(key),
                              std::move(found),
                              std::move(allowed)});
    }

    bool hasKey(const std::string &section, std::string_view key) const
    {
        const auto position = m_sections.find(section);
        return position != m_sections.end() && position->second->find(key) != nullptr;
    }

    void checkService(const service_settings &service)
    {
        const std::string section = "service " + service.id.value();
        if (service.type == service_type::model) {
            if (service.models.empty() && hasKey(section, "type")) {
                report(section, "models", "no model", "at least one model for a service of type model");
            }
            if (hasKey(section, "slots_per_runner")) {
                report(section, "slots_per_runner", "the key", "only for a service of type plain");
            }
            return;
        }
        if (hasKey(section, "models")) {
            report(section, "models", "the key", "only for a service of type model");
        }
    }

    void checkServiceType(const std::string &section, const service_id &id, service_type expectedType)
    {
        const auto service = m_configuration.services.find(id);
        if (service != m_configuration.services.end() && service->second.type != expectedType) {
            const bool isModel = expectedType == service_type::model;
            report(section,
                   "service",
                   fmt::format("the {} service '{}'", isModel ? "plain" : "model", printable(id.value())),
                   isModel ? "a service of type model" : "a service of type plain");
        }
    }

    /// Topological sort: removes services without unresolved dependencies until only services that are on a cycle, or
    /// depend on one, remain. Iterative, because a chain of dependencies may be too long for recursion.
    void checkDependencies()
    {
        std::map<service_id, std::size_t> unresolvedDependencies;
        std::map<service_id, std::vector<service_id>> dependents;
        std::vector<service_id> resolved;
        for (const auto &[id, service] : m_configuration.services) {
            std::size_t count = 0;
            for (const service_id &dependency : service.dependsOn) {
                if (m_configuration.services.contains(dependency)) {
                    dependents[dependency].push_back(id);
                    ++count;
                }
            }
            unresolvedDependencies[id] = count;
            if (count == 0) {
                resolved.push_back(id);
            }
        }
        while (!resolved.empty()) {
            const service_id id = resolved.back();
            resolved.pop_back();
            unresolvedDependencies.erase(id);
            for (const service_id &dependent : dependents[id]) {
                if (--unresolvedDependencies[dependent] == 0) {
                    resolved.push_back(dependent);
                }
            }
        }
        reportCycles(unresolvedDependencies);
    }

    void reportCycles(const std::map<service_id, std::size_t> &remaining)
    {
        std::map<service_id, std::size_t> visitedInWalk;
        std::size_t walk = 0;
        for (const auto &[start, count] : remaining) {
            ++walk;
            std::vector<service_id> path;
            service_id current = start;
            while (visitedInWalk.emplace(current, walk).second) {
                path.push_back(current);
                current = nextRemaining(current, remaining);
            }
            if (visitedInWalk[current] == walk) {
                reportCycle(path, current);
            }
        }
    }

    service_id nextRemaining(const service_id &id, const std::map<service_id, std::size_t> &remaining) const
    {
        for (const service_id &dependency : m_configuration.services.at(id).dependsOn) {
            if (remaining.contains(dependency)) {
                return dependency;
            }
        }
        return id;
    }

    void reportCycle(const std::vector<service_id> &path, const service_id &entry)
    {
        std::string cycle;
        for (auto step = std::find(path.begin(), path.end(), entry); step != path.end(); ++step) {
            cycle += step->value() + " -> ";
        }
        report("service " + entry.value(),
               "depends_on",
               fmt::format("the cycle {}", printable(cycle + entry.value())),
               "dependencies without a cycle");
    }

    void checkVersion(const version_settings &version)
    {
        const std::string section = "version " + version.id.value();
        if (version.state != version_state::canary) {
            // Without this check, a version whose "state = canary" is missing would take all new sessions.
            if (hasKey(section, "canary_percent")) {
                report(section, "canary_percent", "the key", "only with state = canary");
            }
            return;
        }
        if (!hasKey(section, "canary_percent")) {
            report(section, "canary_percent", "no such key", "a share from 0 to 100 percent for a canary");
        }
        if (!version.replaces) {
            if (!hasKey(section, "replaces")) {
                report(section, "replaces", "no such key", "the version that the canary replaces");
            }
            return;
        }
        checkReplacedVersion(section, version);
    }

    void checkReplacedVersion(const std::string &section, const version_settings &version)
    {
        // The replaced version may be in any state, so that an operator can withdraw it without editing its canary too.
        const std::string allowed = fmt::format("another version of model '{}'", version.model.value());
        const auto replaced = m_configuration.versions.find(*version.replaces);
        if (replaced == m_configuration.versions.end()) {
            return;
        }
        if (replaced->first == version.id) {
            report(section, "replaces", "the version itself", allowed);
        } else if (replaced->second.model != version.model) {
            report(
                section, "replaces", fmt::format("a version of model '{}'", replaced->second.model.value()), allowed);
        }
    }

    void checkCanaryShares()
    {
        std::map<model_id, double> shares;
        for (const auto &[id, version] : m_configuration.versions) {
            if (version.state != version_state::canary) {
                continue;
            }
            double &share = shares[version.model];
            const bool wasWithinLimit = share <= maximumPercent;
            share += version.canaryPercent;
            if (wasWithinLimit && share > maximumPercent) {
                report("version " + id.value(),
                       "canary_percent",
                       fmt::format("{} percent over all canaries of model '{}'", share, version.model.value()),
                       "at most 100 percent together");
            }
        }
    }

    void checkOrganisation(const organisation_settings &organisation)
    {
        std::set<model_id> activeModels;
        for (const version_id &id : organisation.allowedVersions) {
            const auto version = m_configuration.versions.find(id);
            const bool isDefined = version != m_configuration.versions.end();
            if (isDefined && version->second.state == version_state::active) {
                activeModels.insert(version->second.model);
            }
        }
        for (const service_id &id : organisation.allowedServices) {
            checkHasActiveVersion(organisation, id, activeModels);
        }
    }

    void checkHasActiveVersion(const organisation_settings &organisation,
                               const service_id &id,
                               const std::set<model_id> &activeModels)
    {
        const auto service = m_configuration.services.find(id);
        if (service == m_configuration.services.end() || service->second.type != service_type::model) {
            return;
        }
        const std::vector<model_id> &models = service->second.models;
        const bool areAllDefined = std::all_of(models.begin(), models.end(), [this](const model_id &model) {
            return m_configuration.models.contains(model);
        });
        const bool hasActiveVersion = std::any_of(models.begin(), models.end(), [&activeModels](const model_id &model) {
            return activeModels.contains(model);
        });
        // A service without models, or with an undefined one, is already reported in its own section.
        if (!hasActiveVersion && areAllDefined && !models.empty()) {
            report("organisation " + organisation.id.value(),
                   "versions",
                   fmt::format("no active version left for service '{}'", id.value()),
                   "at least one active version of a model of each allowed model service");
        }
    }

    void checkGroup(const caller_group_settings &group)
    {
        const std::string section = "group " + group.id.value();
        if (group.keyHashes.empty() && hasKey(section, "keys")) {
            report(section, "keys", "an empty list", "at least one SHA-256 hash of a key");
        }
        for (const std::string &hash : group.keyHashes) {
            const caller_group_id &owner = m_configuration.groupsByKeyHash.at(hash);
            if (owner != group.id) {
                report(section,
                       "keys",
                       fmt::format("the key of group '{}' ({}...)", owner.value(), hash.substr(0, 12)),
                       "a key that belongs to one group only");
            }
        }
        if (group.isOperator) {
            return;
        }
        if (group.requestsPerSecond <= 0.0) {
            report(section, "requests_per_s", "0 requests/s", "above 0 unless operator = true");
        }
        if (group.tokensInFlight == 0) {
            report(section, "tokens_in_flight", "0 tokens", "above 0 unless operator = true");
        }
    }

    void checkOperatorGroup()
    {
        const auto &groups = m_configuration.callerGroups;
        const bool hasOperatorGroup =
            std::any_of(groups.begin(), groups.end(), [](const auto &entry) { return entry.second.isOperator; });
        if (!hasOperatorGroup) {
            m_problems.push_back({problem_code::inconsistent,
                                  0,
                                  {},
                                  {},
                                  "no group with operator = true",
                                  "at least one; without it, nobody can publish the next version"});
        }
    }

    const configuration &m_configuration;
    const section_index &m_sections;
    std::vector<configuration_problem> m_problems;
};

} // namespace

std::vector<configuration_problem> crossCheck(const configuration &configuration, const section_index &sections)
{
    return cross_checker(configuration, sections).run();
}

} // namespace crocuslane
