#pragma once

#include "kernel/types.h"

#include <memory>

namespace crocuslane {

/// The accepted configuration. Offered by the plug-in publication.
class configuration_source
{
public:
    virtual ~configuration_source() = default;
    /// Null until this VM has received a version.
    virtual std::shared_ptr<const configuration> current() const = 0;
    virtual std::uint64_t version() const = 0;
    /// The version that this VM reports to other VMs as confirmed. 0 until it has read the log or has been in contact
    /// with a majority since its start: a restarted VM has lost what it confirmed before and must not count.
    virtual std::uint64_t confirmedVersion() const
    {
        return version();
    }
    /// False while a newer version may have been accepted without this VM's knowledge; new requests are refused then.
    virtual bool mayTakeRequests() const = 0;
};

} // namespace crocuslane
