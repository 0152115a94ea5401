#pragma once

#include "operator_transport.h"

#include <boost/leaf/result.hpp>

#include <optional>

namespace crocuslane {

enum class client_failure {
    /// No entry VM could be reached; nothing was sent.
    unreachable,
    /// The request may have been received, but no complete answer arrived.
    lost,
    /// The entry VM answered with an error.
    refused,
    /// The answer does not have the format of the interface.
    malformed,
};

/// Error object of the operator client's results.
struct client_error {
    client_failure failure = client_failure::unreachable;
    std::string address;
    std::uint32_t status = 0;
    /// Error code, message and execution state from the answer of a VM that refused. The message is the reason from the
    /// transport or the parser otherwise.
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
    /// False when the publication is first in log order but not yet confirmed by more than half of the entry VMs.
    bool isAccepted = false;
    std::uint64_t version = 0;
};

struct vm_status {
    std::string id;
    std::string availabilityZone;
    std::string region;
    std::string address;
    /// Time since the answering VM last had contact with this VM; empty when it never had.
    std::optional<double> lastContactAgeSeconds;
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
    /// All entry VMs that this one lists, itself included.
    std::vector<vm_status> members;
    /// Reports of the plug-ins as JSON text.
    std::string plugins;
};

/// Load of a caller group over all entry VMs: what the answering VM counted and what the others reported to it.
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
    /// Individual bills as JSON text.
    std::string bills;
    std::vector<organisation_total> totals;
};

/// Answer of one VM to a request that is sent to several VMs.
template<typename content>
struct vm_answer {
    std::string address;
    std::optional<content> value;
    /// Set when there is no value.
    client_error error;
};

/// Client of the operators' interface of the entry VMs. Reads without a list of addresses use the first entry that
/// answers.
class operator_client
{
public:
    operator_client(operator_transport &transport, std::vector<std::string> entries);

    boost::leaf::result<published_configuration> configuration();
    boost::leaf::result<node_status> status();
    boost::leaf::result<bill_list> bills();
    /// Sends the text to one entry at a time, and to the next only when the connection failed, so that it is sent once.
    boost::leaf::result<publication_answer> publish(std::uint64_t replacesVersion, const std::string &text);
    boost::leaf::result<void> drain(const std::string &address);

    std::vector<vm_answer<node_status>> statusOf(const std::vector<std::string> &addresses);
    /// Whether each VM accepts requests. The answers are short, whereas each status lists all VMs.
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

/// One-line description for operators.
std::string toText(const client_error &error);

} // namespace crocuslane
