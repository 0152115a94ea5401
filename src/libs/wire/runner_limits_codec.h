#pragma once

#include "kernel/peer_message.h"
#include "wire/envelope_generated.hpp"

namespace crocuslane {

flatbuffers::Offset<wire::runner_limits> encodeRunnerLimits(flatbuffers::FlatBufferBuilder &builder,
                                                            const runner_limits &message);
/// Leaves out entries whose limit is no number.
runner_limits decodeRunnerLimits(const wire::runner_limits &message);

} // namespace crocuslane
