#include "wire/envelope_codec.h"
#include "wire/frame_codec.h"
#include "wire/peer_handshake.h"

#include <fstream>

using namespace crocuslane;

namespace {

member_state state()
{
    member_state state{vm_id("vm-2"), 3, 9, 4, 250, true, {}, {}, 120};
    state.demand.push_back({caller_group_id("north/desk"), 2.5, 1000, 20, 3, 1});
    state.runners.push_back({runner_id("runner-1"), 4, true});
    return state;
}

} // namespace

/// Writes one valid input of each kind into the folder given as the only argument, as the seed corpus of the fuzzer.
int main(int argumentCount, char **arguments)
{
    if (argumentCount != 2) {
        return 2;
    }
    const bill bill{request_id("r"),
                    organisation_id("north"),
                    caller_group_id("north/desk"),
                    service_id("s"),
                    kind_id("k"),
                    version_id("m@1"),
                    {1, 2, 3},
                    44,
                    1'750'000'000'000};
    const std::vector<peer_message> messages{
        heartbeat{5, 6, true, 4},
        exchange_digest{{{vm_id("vm-2"), 3, 9}}, 8},
        exchange_delta{{state()}, {{vm_id("vm-3"), 255, 4, true}}},
        bill_copy{bill},
        bill_copy_acknowledged{request_id("r")},
        bill_copy_released{request_id("r")},
        configuration_fetch{12},
        configuration_text{12, 99, "[service a]\n"},
        stream_part{"s", 4, 9, {}, {}, {{"key", "value", 5}, {"other", {}, 8}}},
        version_evidence_list{{{vm_id("vm-4"), 8, 12, service_id("model"), 6, {{77, {5, 2, {}}, {70, 4, {}}}}}}},
        crash_evidence{{{7, 1, {{8, 9, {}}}, {}, crash_evidence::isolation{}, true}}, {{8, {}}}},
        runner_limits{{{7, 1.5, {}}, {8, {}, {}}}}};
    std::vector<std::string> inputs;
    std::string stream;
    std::string connection;
    envelope_encoder encoder;
    for (const peer_message &message : messages) {
        inputs.push_back(encodeEnvelope({vm_id("vm-1"), 7, {1234, 5}, message}).value());
        stream += encodeFrame(inputs.back()).value();
    }
    // Twice, so that the second round refers to names of earlier messages.
    for (int round = 0; round < 2; ++round) {
        for (const peer_message &message : messages) {
            connection += encodeFrame(encoder.encode({vm_id("vm-1"), 7, {1234, 5}, message}).value()).value();
        }
    }
    inputs.push_back(stream);
    inputs.push_back(connection);
    peer_handshake opened(connection_side::opened, {vm_id("peer"), 2}, "other key", std::string(32, 'o'));
    peer_handshake accepted(connection_side::accepted, {vm_id("self"), 1}, "other key", std::string(32, 'n'));
    const std::string proof = opened.receive(accepted.challenge()).value().value();
    inputs.push_back(encodeFrame(opened.challenge()).value() + encodeFrame(proof).value());
    for (std::size_t index = 0; index < inputs.size(); ++index) {
        std::ofstream(std::string(arguments[1]) + "/seed-" + std::to_string(index), std::ios::binary) << inputs[index];
    }
    return 0;
}
