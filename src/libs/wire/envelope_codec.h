#pragma once

#include "base/hybrid_clock.h"
#include "kernel/peer_message.h"
#include "wire/wire_error.h"

#include <string>
#include <string_view>

namespace crocuslane {

/// Raised with every change that an older process would misread.
constexpr std::uint16_t wireProtocolVersion = 1;

/// A message between entry VMs with its sender.
struct envelope {
    vm_id sender;
    std::uint64_t incarnation = 0;
    hybrid_time time;
    peer_message message;
};

/// Payload of one frame. Fails with wire_error when an id is too long for the format.
leaf::result<std::string> encodeEnvelope(const envelope &envelope);
/// Fails with wire_error; every byte is checked before use.
leaf::result<envelope> decodeEnvelope(std::string_view payload);

} // namespace crocuslane
