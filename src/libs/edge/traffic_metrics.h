#pragma once

#include "base/clock.h"
#include "kernel/action.h"
#include "kernel/event.h"

#include <memory>
#include <string>

namespace crocuslane {

/// Counts and histograms of one entry VM, seen from its events and actions.
class traffic_metrics
{
public:
    explicit traffic_metrics(const clock &clock);
    ~traffic_metrics();

    void observe(const event &event);
    void observe(const action &action);
    /// Processor time of one step of the decision code.
    void observeStep(duration time);
    void setPeerBytesSent(std::uint64_t bytes);

    /// In the text format that monitoring systems scrape.
    std::string text() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace crocuslane
