#pragma once

#include "services/member_view.h"

#include <string>
#include <vector>

namespace crocuslane {

/// The VMs vm-0, vm-1 and so on of a deployment, as one of them sees them.
class listed_members : public member_view
{
public:
    entry_advice advice() const override
    {
        return {};
    }

    std::vector<member_info> members() const override
    {
        std::vector<member_info> list;
        for (std::size_t number = 0; number < vmCount; ++number) {
            member_info info;
            info.id = vm_id("vm-" + std::to_string(number));
            info.isSelf = number == self;
            if ((isInContact && number >= cutOff) || info.isSelf) {
                info.lastContactAge = duration::zero();
            }
            list.push_back(info);
        }
        return list;
    }

    bool hasContactWithMajority(duration /*limit*/) const override
    {
        return isInContact;
    }

    const std::vector<vm_entry> &backendServers() const override
    {
        return servers;
    }

    std::vector<vm_id> connectedPeers() const override
    {
        return {};
    }

    std::optional<steady_time> earliestSendTime(const vm_id & /*peer*/) const override
    {
        return std::nullopt;
    }

    std::optional<std::string> regionOf(const vm_id & /*peer*/) const override
    {
        return std::nullopt;
    }

    std::size_t vmCount = 0;
    std::size_t self = 0;
    /// The VMs with lower numbers are out of contact.
    std::size_t cutOff = 0;
    bool isInContact = true;
    std::vector<vm_entry> servers;
};

} // namespace crocuslane
