#pragma once

#include "kernel/types.h"

#include <memory>

namespace crocuslane {

/// The accepted configuration. Offered by the plug-in publication.
class configuration_source
{
public:
    virtual ~configuration_source() = default;
    /// Null until the first version is known.
    virtual std::shared_ptr<const configuration> current() const = 0;
    virtual std::uint64_t version() const = 0;
    /// The version that this VM reports to other VMs. 0 until it has read the log or heard a majority since its start:
    /// a restarted VM has forgotten what it confirmed and doesn't count.
    virtual std::uint64_t confirmedVersion() const
    {
        return version();
    }
    /// False while this VM can't know whether a newer version was accepted; new requests are refused then.
    virtual bool mayTakeRequests() const = 0;
};

} // namespace crocuslane
