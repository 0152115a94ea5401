#pragma once

#include "kernel/types.h"

namespace crocuslane {

/// Writes bills to the log. Offered by the plug-in billing.
class bill_ledger
{
public:
    virtual ~bill_ledger() = default;
    /// A bill_durable event with the id of the request follows, in this step or a later one.
    virtual void charge(const bill &bill) = 0;
};

} // namespace crocuslane
