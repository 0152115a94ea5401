#pragma once

#include "kernel/peer_message.h"

#include <cstddef>

/// Encoded sizes of peer messages in bytes, estimated from the wire format. The measurement of control traffic compares
/// the estimates with encoded frames.
namespace crocuslane {

constexpr std::size_t heartbeatBytes = 124;
constexpr std::size_t deltaFrameBytes = 172;
constexpr std::size_t digestFrameBytes = 148;
constexpr std::size_t sightingBytes = 8;
constexpr std::size_t digestEntryBytes = 16;

/// Size of the id of a VM, group or runner, which is sent in full only the first time on a connection.
std::size_t nameBytes(const std::string &name);
/// Size of a member state without the frame and the names.
std::size_t stateBytes(const member_state &state);

} // namespace crocuslane
