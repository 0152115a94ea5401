#pragma once

#include "kernel/types.h"

namespace crocuslane {

struct entry_advice {
    struct entry {
        vm_id id;
        std::string address;
        std::string availabilityZone;
        std::string region;
    };
    /// In the order in which a caller in this VM's availability zone shall try them.
    std::vector<entry> entries;
    std::uint32_t keepSeconds = 0;
};

struct member_info {
    vm_id id;
    std::string availabilityZone;
    std::string region;
    std::string address;
    /// Age of the last word from it, over any path; nothing when never heard.
    std::optional<duration> lastContactAge;
    std::uint64_t configurationVersion = 0;
    bool isStopping = false;
    bool isSelf = false;
};

/// Entry VMs and backend servers that are known. Offered by the plug-in membership.
class member_view
{
public:
    virtual ~member_view() = default;
    virtual entry_advice advice() const = 0;
    /// All entry VMs of the VM list, this one included.
    virtual std::vector<member_info> members() const = 0;
    /// True when this VM heard more than half of the entry VMs, itself included, within @p limit.
    virtual bool hasContactWithMajority(duration limit) const = 0;
    /// Backend servers of the VM list with the leaving mark of whichever source was first.
    virtual const std::vector<vm_entry> &backendServers() const = 0;
    /// Connected entry VMs, those of other availability zones first.
    virtual std::vector<vm_id> connectedPeers() const = 0;
    /// What comes from this entry VM from now on, it sent at this time or later; nothing when that is not known.
    virtual std::optional<steady_time> earliestSendTime(const vm_id &peer) const = 0;
    /// Region of an entry VM of the VM list; nothing for another one.
    virtual std::optional<std::string> regionOf(const vm_id &peer) const = 0;
};

} // namespace crocuslane
