#include "publisher.h"

#include "configuration/checker.h"
#include "progress_display.h"

#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace crocuslane {

namespace leaf = boost::leaf;

namespace {

constexpr std::chrono::milliseconds pollInterval{300};
/// VMs that a progress line names.
constexpr std::size_t maximumNamedVms = 4;
/// VMs that are asked directly for their version in one round.
constexpr std::size_t maximumDirectQueries = 16;

} // namespace

struct publisher::attempt {
    std::optional<publication_answer> answer;
    client_error error;
};

publisher::publisher(operator_client &client,
                     command_environment &environment,
                     progress_display &progress,
                     publisher_settings settings)
    : m_client(client)
    , m_environment(environment)
    , m_progress(progress)
    , m_settings(settings)
{
}

publisher::attempt publisher::send(std::uint64_t replaced, const std::string &text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<attempt> {
            BOOST_LEAF_AUTO(answer, m_client.publish(replaced, text));
            return attempt{answer, {}};
        },
        [](const client_error &error) {
            return attempt{std::nullopt, error};
        },
        [] { return attempt{}; });
}

publication_result publisher::publish(std::uint64_t replaced, const std::string &text)
{
    const std::string hash = hashConfiguration(text);
    const steady_time deadline = m_environment.time.steadyNow() + m_settings.maximumWait;
    bool mayHaveTakenEffect = false;
    std::string lastError;
    while (true) {
        const attempt attempt = send(replaced, text);
        if (attempt.answer) {
            return {publication_outcome::accepted, attempt.answer->version, {}};
        }
        const client_error &error = attempt.error;
        lastError = toText(error);
        const bool isRefused = error.failure == client_failure::refused;
        const bool isConflict = isRefused && error.code == "publication_conflict";
        const bool isUncertain = error.failure == client_failure::lost || error.failure == client_failure::malformed
            || (isRefused && error.execution == "unknown");
        if (!isConflict && !isUncertain && !mayHaveTakenEffect) {
            return {publication_outcome::refused, 0, lastError};
        }
        mayHaveTakenEffect = mayHaveTakenEffect || isUncertain;
        m_progress.update(isConflict ? "another version is in force; comparing the hashes"
                                     : fmt::format("{}; determining the outcome", lastError));
        if (const auto result = determineOutcome(replaced, hash, !mayHaveTakenEffect)) {
            return *result;
        }
        if (isConflict && !mayHaveTakenEffect) {
            return {publication_outcome::conflict, 0, lastError};
        }
        if (m_environment.time.steadyNow() >= deadline) {
            return {publication_outcome::unknown, 0, lastError};
        }
        m_environment.sleep(pollInterval);
        // A repeat is safe: in log order, only the first publication that replaces a version is accepted.
    }
}

std::optional<publication_result>
publisher::determineOutcome(std::uint64_t replaced, const std::string &hash, bool isCertainlyIneffective)
{
    published_configuration newest;
    for (const auto &answer : m_client.configurationOf(m_client.entries())) {
        if (answer.value && answer.value->version > newest.version) {
            newest = *answer.value;
        }
    }
    if (newest.version <= replaced) {
        return std::nullopt;
    }
    if (newest.hash == hash) {
        return publication_result{publication_outcome::accepted, newest.version, "identified by its hash"};
    }
    if (newest.version == replaced + 1 || isCertainlyIneffective) {
        return publication_result{publication_outcome::conflict,
                                  newest.version,
                                  fmt::format("version {} is in force and has another text", newest.version)};
    }
    return publication_result{
        publication_outcome::unknown,
        newest.version,
        fmt::format("version {} is in force; whether version {} had this text can no longer be determined",
                    newest.version,
                    replaced + 1)};
}

void publisher::readStatuses(const std::vector<std::string> &addresses)
{
    for (auto &answer : m_client.statusOf(addresses)) {
        if (!answer.value) {
            continue;
        }
        std::uint64_t &ownVersion = m_versions[answer.value->id];
        ownVersion = std::max(ownVersion, answer.value->configurationVersion);
        for (const vm_status &member : answer.value->members) {
            std::uint64_t &memberVersion = m_versions[member.id];
            memberVersion = std::max(memberVersion, member.configurationVersion);
        }
        if (answer.value->members.size() >= m_members.size()) {
            m_members = std::move(answer.value->members);
        }
    }
}

std::vector<vm_confirmation> publisher::readConfirmations(std::uint64_t version)
{
    readStatuses(m_client.entries());
    // An entry VM receives the versions of the others with a delay, and not at all across a network partition. Only VMs
    // whose confirmation is missing are asked directly, and a few at a time, because each answer lists all VMs of
    // the deployment.
    std::vector<std::string> unconfirmed;
    for (const vm_status &member : m_members) {
        if (m_versions[member.id] < version && unconfirmed.size() < maximumDirectQueries) {
            unconfirmed.push_back(member.address);
        }
    }
    readStatuses(unconfirmed);
    std::vector<vm_confirmation> vms;
    vms.reserve(m_members.size());
    for (const vm_status &member : m_members) {
        const std::uint64_t memberVersion = m_versions[member.id];
        vms.push_back({member.id, member.availabilityZone, member.address, memberVersion, memberVersion >= version});
    }
    return vms;
}

confirmation_result publisher::waitForConfirmations(std::uint64_t version)
{
    const steady_time deadline = m_environment.time.steadyNow() + m_settings.maximumWait;
    std::optional<steady_time> majoritySince;
    std::size_t previousMemberCount = 0;
    while (true) {
        confirmation_result result;
        result.vms = readConfirmations(version);
        showConfirmations(version, result.vms);
        const auto confirmedCount = static_cast<std::size_t>(
            std::count_if(result.vms.begin(), result.vms.end(), [](const auto &vm) { return vm.isConfirmed; }));
        result.isConfirmedByAll = !result.vms.empty() && confirmedCount == result.vms.size();
        result.isConfirmedByMajority = confirmedCount * 2 > result.vms.size();
        const steady_time now = m_environment.time.steadyNow();
        if (result.isConfirmedByMajority && !majoritySince) {
            majoritySince = now;
        }
        // The first answer may come from a VM that lists only a few others, so the list must keep its length for one
        // round.
        const bool isListStable = previousMemberCount == result.vms.size();
        previousMemberCount = result.vms.size();
        const bool isFinished = (result.isConfirmedByAll && isListStable)
            || (majoritySince && now >= *majoritySince + m_settings.freshnessLimit) || now >= deadline;
        if (isFinished) {
            return result;
        }
        m_environment.sleep(pollInterval);
    }
}

void publisher::showConfirmations(std::uint64_t version, const std::vector<vm_confirmation> &vms)
{
    std::string missingIds;
    std::size_t confirmedCount = 0;
    std::size_t missingCount = 0;
    for (const vm_confirmation &vm : vms) {
        if (vm.isConfirmed) {
            ++confirmedCount;
        } else if (missingCount++ < maximumNamedVms) {
            missingIds += (missingIds.empty() ? "" : ", ") + vm.id;
        }
    }
    std::string line = fmt::format("version {}: in force on {} of {} VMs", version, confirmedCount, vms.size());
    if (missingCount > 0) {
        line += fmt::format("; waiting for {}{}", missingIds, missingCount > maximumNamedVms ? ", ..." : "");
    }
    m_progress.update(line);
}

} // namespace crocuslane
