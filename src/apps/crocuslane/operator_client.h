#pragma once

#include "operator_transport.h"

#include <boost/leaf/result.hpp>

#include <optional>

namespace crocuslane {

enum class client_failure {
    /// No entry VM could be reached; nothing was sent.
    unreachable,
    /// The request may have been received; its answer wasn't.
    lost,
    /// The entry VM answered with an error.
    refused,
    /// The answer is not what the interface promises.
    malformed,
};

/// Error object of the operator client's results.
struct client_error {
    client_failure failure = client_failure::unreachable;
    std::string address;
    std::uint32_t status = 0;
    /// Error code, message and execution state of the interface, when the VM refused.
    std::string code;
    std::string message;
    std::string execution;
};

struct published_configuration {
    std::uint64_t version = 0;
    std::string hash;
    std::string text;
};

struct publication_answer {
    /// False: first in order, but not yet confirmed by more than half of the entry VMs.
    bool isAccepted = false;
    std::uint64_t version = 0;
};

struct vm_status {
    std::string id;
    std::string availabilityZone;
    std::string region;
    std::string address;
    /// Nothing when the answering VM never heard it.
    std::optional<double> lastHeardAgeSeconds;
    std::uint64_t configurationVersion = 0;
    bool isStopping = false;
    bool isSelf = false;
};

struct node_status {
    std::string id;
    std::string availabilityZone;
    std::string region;
    std::uint64_t configurationVersion = 0;
    bool isFresh = false;
    /// All entry VMs as this one sees them, itself included.
    std::vector<vm_status> members;
    /// What the plug-ins report, as JSON text.
    std::string plugins;
};

/// Load of a caller group over all entry VMs, as one VM counted and heard it.
struct group_load {
    std::string group;
    std::string organisation;
    /// Services that the group called, separated by commas.
    std::string service;
    double demandPerSecond = 0.0;
    double limitPerSecond = 0.0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t queued = 0;
    std::uint64_t tokensInFlight = 0;
};

struct timeline_event {
    std::int64_t unixMilliseconds = 0;
    std::uint64_t logical = 0;
    std::string vm;
    std::string kind;
    std::string request;
    std::string detail;
};

struct organisation_total {
    std::string organisation;
    std::uint64_t requests = 0;
    /// Millionths of the operators' currency unit.
    std::uint64_t cost = 0;
};

struct bill_list {
    /// Single bills as JSON text.
    std::string bills;
    std::vector<organisation_total> totals;
};

/// What one of several VMs answered.
template<typename content>
struct vm_answer {
    std::string address;
    std::optional<content> value;
    /// Set when there is no value.
    client_error error;
};

/// Operators' interface of the entry VMs. Reads go to the first entry that answers.
class operator_client
{
public:
    operator_client(operator_transport &transport, std::vector<std::string> entries);

    boost::leaf::result<published_configuration> configuration();
    boost::leaf::result<node_status> status();
    boost::leaf::result<bill_list> bills();
    /// Sent to one entry at a time; the next is tried only when nothing was sent.
    boost::leaf::result<publication_answer> publish(std::uint64_t replacesVersion, const std::string &text);
    boost::leaf::result<void> drain(const std::string &address);

    std::vector<vm_answer<node_status>> statusOf(const std::vector<std::string> &addresses);
    /// Whether each VM takes requests; a short answer, unlike the status.
    std::vector<vm_answer<bool>> readinessOf(const std::vector<std::string> &addresses);
    std::vector<vm_answer<published_configuration>> configurationOf(const std::vector<std::string> &addresses);
    std::vector<vm_answer<std::vector<group_load>>> groupsOf(const std::vector<std::string> &addresses);
    /// @p request may be empty; @p sinceMilliseconds is Unix time.
    std::vector<vm_answer<std::vector<timeline_event>>>
    timelineOf(const std::vector<std::string> &addresses, const std::string &request, std::int64_t sinceMilliseconds);
    const std::vector<std::string> &entries() const;

private:
    operator_transport &m_transport;
    std::vector<std::string> m_entries;
};

/// One line for operators.
std::string toText(const client_error &error);

} // namespace crocuslane
