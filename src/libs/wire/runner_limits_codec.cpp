#include "wire/runner_limits_codec.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace crocuslane {

namespace {

constexpr double noLimit = -1.0;

std::uint32_t wireAge(std::chrono::milliseconds age)
{
    constexpr std::int64_t longest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, longest));
}

} // namespace

flatbuffers::Offset<wire::runner_limits> encodeRunnerLimits(flatbuffers::FlatBufferBuilder &builder,
                                                            const runner_limits &message)
{
    std::vector<wire::runner_limit> entries;
    entries.reserve(message.entries.size());
    for (const runner_limits::entry &entry : message.entries) {
        entries.emplace_back(entry.runner, entry.requestsPerSecond.value_or(noLimit), wireAge(entry.age));
    }
    return wire::Createrunner_limits(builder, builder.CreateVectorOfStructs(entries));
}

runner_limits decodeRunnerLimits(const wire::runner_limits &message)
{
    runner_limits limits;
    if (message.entries() == nullptr) {
        return limits;
    }
    for (const wire::runner_limit *entry : *message.entries()) {
        if (!std::isfinite(entry->requests_per_s())) {
            continue;
        }
        const bool hasLimit = entry->requests_per_s() >= 0.0;
        limits.entries.push_back({entry->runner(),
                                  hasLimit ? std::optional(entry->requests_per_s()) : std::nullopt,
                                  std::chrono::milliseconds(entry->age_ms())});
    }
    return limits;
}

} // namespace crocuslane
