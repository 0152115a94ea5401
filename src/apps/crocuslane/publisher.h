#pragma once

#include "command.h"

namespace crocuslane {

class progress_display;

struct publication_settings {
    /// Longest time to find out the outcome, and then to wait for confirmations.
    duration wait = std::chrono::seconds(30);
    /// Freshness limit of the deployment: a VM that didn't confirm takes no requests after it.
    duration freshness = std::chrono::seconds(6);
};

enum class publication_outcome {
    /// First in log order.
    accepted,
    conflict,
    /// Certainly not in force, for example because the log service is down.
    refused,
    unknown,
};

struct publication_result {
    publication_outcome outcome = publication_outcome::unknown;
    /// Version of the text if accepted, otherwise the one in force if known.
    std::uint64_t version = 0;
    std::string message;
};

struct vm_confirmation {
    std::string id;
    std::string availabilityZone;
    std::string address;
    /// Newest version that the VM is known to have.
    std::uint64_t version = 0;
    bool isConfirmed = false;
};

struct confirmation_result {
    std::vector<vm_confirmation> vms;
    bool isConfirmedByAll = false;
    bool isConfirmedByMajority = false;
};

/// Publishes a text and finds out what became of it.
class publisher
{
public:
    publisher(operator_client &client,
              command_environment &environment,
              progress_display &progress,
              publication_settings settings);

    /// @p text replaces version @p replaced. When an answer is lost, the outcome is found out by comparing version and
    /// hash, and the publication is repeated if it had no effect.
    publication_result publish(std::uint64_t replaced, const std::string &text);
    /// Waits until all VMs have @p version, or until those that don't have it can take no requests any more.
    confirmation_result waitForConfirmations(std::uint64_t version);

private:
    struct attempt;

    attempt send(std::uint64_t replaced, const std::string &text);
    /// Nothing while the version to be replaced is still in force, or no VM answers.
    std::optional<publication_result> compare(std::uint64_t replaced, const std::string &hash, bool isCertainlyDecided);
    /// Notes the members and the versions that the given VMs know of.
    void readStatuses(const std::vector<std::string> &addresses);
    std::vector<vm_confirmation> readConfirmations(std::uint64_t version);
    void showConfirmations(std::uint64_t version, const std::vector<vm_confirmation> &vms);

    operator_client &m_client;
    command_environment &m_environment;
    progress_display &m_progress;
    publication_settings m_settings;
    /// Last list of the entry VMs; kept while no VM answers.
    std::vector<vm_status> m_members;
    /// Newest known version by VM id.
    std::map<std::string, std::uint64_t> m_versions;
};

} // namespace crocuslane
