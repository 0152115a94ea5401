#include "kernel/plugin.h"
#include "timeline/timeline_ring.h"

#include <nlohmann/json.hpp>

namespace crocuslane {

/// Reports the size and the oldest event of this VM's timeline in the status. The events are recorded by the plug-ins
/// that cause them.
class timeline_plugin : public plugin
{
public:
    std::string_view name() const override
    {
        return "timeline";
    }

    void initialize(plugin_context &context) override
    {
        // Null in tests and measurements, which use other recorders.
        m_ring = dynamic_cast<const timeline_ring *>(&context.timeline);
    }

    void handle(const event & /*event*/, action_list & /*actions*/) override
    {
    }

    void describe(nlohmann::json &status) const override
    {
        if (m_ring == nullptr) {
            return;
        }
        status["events"] = m_ring->size();
        status["capacity"] = m_ring->capacity();
        status["overwritten"] = m_ring->overwritten();
        if (const std::optional<std::int64_t> oldest = m_ring->oldestMilliseconds()) {
            status["oldest_time_ms"] = *oldest;
        }
    }

private:
    const timeline_ring *m_ring = nullptr;
};

namespace {

const plugin_registrar autoRegistrar("timeline",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<timeline_plugin>(); });

} // namespace

} // namespace crocuslane
