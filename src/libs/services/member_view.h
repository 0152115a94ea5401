#pragma once

#include "kernel/types.h"

namespace crocuslane {

/// Entry VMs that a caller should use.
struct entry_advice {
    struct entry {
        vm_id id;
        std::string address;
        std::string availabilityZone;
        std::string region;
    };
    /// In the order in which a caller in this VM's availability zone should try them.
    std::vector<entry> entries;
    /// How long the caller may use this advice.
    std::uint32_t keepSeconds = 0;
};

struct member_info {
    vm_id id;
    std::string availabilityZone;
    std::string region;
    std::string address;
    /// Time since the entry VM was last known to be alive, directly or through other entry VMs; empty when it never
    /// was.
    std::optional<duration> lastContactAge;
    std::uint64_t configurationVersion = 0;
    bool isStopping = false;
    bool isSelf = false;
};

/// The entry VMs and backend servers of the deployment. Offered by the plug-in membership.
class member_view
{
public:
    virtual ~member_view() = default;
    virtual entry_advice advice() const = 0;
    /// All entry VMs of the VM list, this one included.
    virtual std::vector<member_info> members() const = 0;
    /// True when more than half of the entry VMs, this one included, were known to be alive within @p limit.
    virtual bool hasContactWithMajority(duration limit) const = 0;
    /// Backend servers of the VM list. One is marked as leaving as soon as the first source reports it.
    virtual const std::vector<vm_entry> &backendServers() const = 0;
    /// Connected entry VMs, those of other availability zones first.
    virtual std::vector<vm_id> connectedPeers() const = 0;
    /// Lower bound of the time at which @p peer sent the messages that arrive from now on; empty when not known.
    virtual std::optional<steady_time> earliestSendTime(const vm_id &peer) const = 0;
    /// Region of an entry VM; empty when it is not in the VM list.
    virtual std::optional<std::string> regionOf(const vm_id &peer) const = 0;
};

} // namespace crocuslane
