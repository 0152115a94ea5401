#pragma once

#include "kernel/peer_message.h"

#include <cstddef>

/// Bytes that messages take on the wire, estimated from the layout of the format. The measurement of control bytes
/// compares them with encoded frames.
namespace crocuslane {

constexpr std::size_t heartbeatBytes = 124;
constexpr std::size_t deltaFrameBytes = 172;
constexpr std::size_t digestFrameBytes = 148;
constexpr std::size_t sightingBytes = 8;
constexpr std::size_t digestEntryBytes = 16;

/// What the id of a VM, group or runner adds when a connection first carries it.
std::size_t nameBytes(const std::string &name);
/// Without the frame and without names.
std::size_t stateBytes(const member_state &state);

} // namespace crocuslane
