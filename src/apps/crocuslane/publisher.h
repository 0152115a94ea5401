#pragma once

#include "command.h"

namespace crocuslane {

class progress_display;

struct publisher_settings {
    /// Longest time to determine the outcome, and then again to wait for confirmations.
    duration maximumWait = std::chrono::seconds(30);
    /// Freshness limit of the deployment: a VM accepts requests for this long after it last confirmed that
    /// it has the newest version.
    duration freshnessLimit = std::chrono::seconds(6);
};

enum class publication_outcome {
    /// First publication in log order that replaces the version.
    accepted,
    conflict,
    /// Certainly without effect, for example because the log service is down.
    refused,
    unknown,
};

struct publication_result {
    publication_outcome outcome = publication_outcome::unknown;
    /// Version of the text if accepted, otherwise the version in force, or 0 if that is not known.
    std::uint64_t version = 0;
    std::string message;
};

struct vm_confirmation {
    std::string id;
    std::string availabilityZone;
    std::string address;
    /// Newest version that the VM has, as far as any answer shows.
    std::uint64_t version = 0;
    bool isConfirmed = false;
};

struct confirmation_result {
    std::vector<vm_confirmation> vms;
    bool isConfirmedByAll = false;
    bool isConfirmedByMajority = false;
};

/// Publishes a configuration text, determines the outcome and waits for confirmations.
class publisher
{
public:
    publisher(operator_client &client,
              command_environment &environment,
              progress_display &progress,
              publisher_settings settings);

    /// @p text replaces version @p replaced. When an answer is lost, the outcome is determined from version and hash of
    /// the configuration in force, and the publication is repeated if it had no effect.
    publication_result publish(std::uint64_t replaced, const std::string &text);
    /// Waits until all VMs have @p version, or until those without it no longer accept requests because the freshness
    /// limit has passed, but no longer than the maximum wait.
    confirmation_result waitForConfirmations(std::uint64_t version);

private:
    struct attempt;

    attempt send(std::uint64_t replaced, const std::string &text);
    /// Determines the outcome from the newest configuration that the entries have. Empty while the version to be
    /// replaced is still in force, or when no VM answers. @p isCertainlyIneffective: no own attempt had an effect, so
    /// any newer version with another text is a conflict.
    std::optional<publication_result>
    determineOutcome(std::uint64_t replaced, const std::string &hash, bool isCertainlyIneffective);
    /// Updates the list of VMs and their versions from the status of the VMs at @p addresses.
    void readStatuses(const std::vector<std::string> &addresses);
    std::vector<vm_confirmation> readConfirmations(std::uint64_t version);
    void showConfirmations(std::uint64_t version, const std::vector<vm_confirmation> &vms);

    operator_client &m_client;
    command_environment &m_environment;
    progress_display &m_progress;
    publisher_settings m_settings;
    /// Newest list of the entry VMs, unless it is shorter than an earlier one.
    std::vector<vm_status> m_members;
    /// Newest reported configuration version by VM id.
    std::map<std::string, std::uint64_t> m_versions;
};

} // namespace crocuslane
