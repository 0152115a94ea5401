#include "wire/envelope_codec.h"
#include "wire/envelope_generated.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

class envelope_fixture
{
protected:
    static peer_message roundTrip(const peer_message &message)
    {
        const std::string bytes = encodeEnvelope({vm_id("vm-1"), 7, {1234, 5}, message}).value();
        const envelope decoded = decodeEnvelope(bytes).value();
        CHECK(decoded.sender == vm_id("vm-1"));
        CHECK(decoded.incarnation == 7);
        CHECK(decoded.time == hybrid_time{1234, 5});
        return decoded.message;
    }

    static std::optional<wire_fault> faultOf(std::string_view bytes)
    {
        return leaf::try_handle_all(
            [bytes]() -> leaf::result<std::optional<wire_fault>> {
                if (auto checked = decodeEnvelope(bytes); !checked) {
                    return checked.error();
                }
                return std::nullopt;
            },
            [](const wire_error &error) { return std::optional(error.fault); },
            [] { return std::optional<wire_fault>(); });
    }

    static member_state state()
    {
        member_state state{vm_id("vm-2"), 3, 9, 4, 250, true, {}, {}, 120};
        state.demand.push_back({caller_group_id("north/desk"), 2.5, 1000, 20, 3, 1});
        state.runners.push_back({runner_id("runner-1"), 4, true});
        return state;
    }
};

} // namespace

// Guards against a field that the codec omits or stores in another field.
TEST_CASE_METHOD(envelope_fixture, "envelope, every kind of message, survives a round trip", "[wire]")
{
    const auto heartbeatMessage = std::get<heartbeat>(roundTrip(heartbeat{5, 6, true, 4}));
    CHECK((heartbeatMessage.sequence == 5 && heartbeatMessage.configurationVersion == 6 && heartbeatMessage.isStopping
           && heartbeatMessage.echoedSequence == 4));

    const auto digest = std::get<exchange_digest>(roundTrip(exchange_digest{{{vm_id("vm-2"), 3, 9}}, 8}));
    REQUIRE(digest.entries.size() == 1);
    CHECK(digest.entries[0].id == vm_id("vm-2"));
    CHECK((digest.entries[0].incarnation == 3 && digest.entries[0].counter == 9 && digest.configurationVersion == 8));

    const auto delta = std::get<exchange_delta>(roundTrip(
        exchange_delta{{state(), member_state{}}, {{vm_id("vm-3"), 255, 4, true}, {vm_id("vm-4"), 0, 6, false}}}));
    REQUIRE(delta.states.size() == 2);
    const member_state &first = delta.states[0];
    CHECK((first.id == vm_id("vm-2") && first.incarnation == 3 && first.counter == 9));
    CHECK((first.configurationVersion == 4 && first.logReadAgeMilliseconds == 250 && first.isStopping));
    REQUIRE(first.demand.size() == 1);
    CHECK(first.demand[0].group == caller_group_id("north/desk"));
    CHECK((first.demand[0].arrivalRate == Approx(2.5).epsilon(0.0003) && first.demand[0].tokensInFlight == 1000));
    CHECK((first.demand[0].admitted == 20 && first.demand[0].refused == 3 && first.demand[0].queued == 1));
    REQUIRE(first.runners.size() == 1);
    CHECK(first.runners[0].runner == runner_id("runner-1"));
    CHECK((first.runners[0].inFlight == 4 && first.runners[0].isLeaving));
    CHECK(first.ageMilliseconds == 120);
    CHECK(delta.states[1].logReadAgeMilliseconds == -1);
    REQUIRE(delta.sightings.size() == 2);
    CHECK(delta.sightings[0].id == vm_id("vm-3"));
    CHECK((delta.sightings[0].ageMilliseconds == 260 && delta.sightings[0].configurationVersion == 4));
    CHECK((delta.sightings[0].isStopping && !delta.sightings[1].isStopping));
    CHECK((delta.sightings[1].ageMilliseconds == 0 && delta.sightings[1].configurationVersion == 6));

    const bill original{request_id("r"),
                        organisation_id("north"),
                        caller_group_id("north/desk"),
                        service_id("s"),
                        kind_id("k"),
                        version_id("m@1"),
                        {1, 2, 3},
                        44,
                        1'750'000'000'000};
    const bill copy = std::get<bill_copy>(roundTrip(bill_copy{original})).content;
    CHECK((copy.request == original.request && copy.organisation == original.organisation));
    CHECK((copy.group == original.group && copy.service == original.service));
    CHECK((copy.kind == original.kind && copy.version == original.version && copy.cost == 44));
    CHECK((copy.usage.promptTokens == 1 && copy.usage.cachedPromptTokens == 2 && copy.usage.outputTokens == 3));
    CHECK(copy.unixMilliseconds == original.unixMilliseconds);

    CHECK(std::get<bill_copy_acknowledged>(roundTrip(bill_copy_acknowledged{request_id("r")})).request.value() == "r");
    CHECK(std::get<bill_copy_released>(roundTrip(bill_copy_released{request_id("r")})).request.value() == "r");
    CHECK(std::get<configuration_fetch>(roundTrip(configuration_fetch{12})).knownVersion == 12);
    const auto text = std::get<configuration_text>(roundTrip(configuration_text{12, 99, "[service a]\n"}));
    CHECK((text.version == 12 && text.asOf == 99 && text.text == "[service a]\n"));

    stream_part sent{"s", 4, 9, std::chrono::milliseconds(70), std::chrono::milliseconds(5), {}};
    sent.epoch = 3;
    sent.records = {{"kept", "a value", 5}, {"dropped", std::nullopt, 8}};
    const auto part = std::get<stream_part>(roundTrip(sent));
    CHECK((part.stream == "s" && part.first == 4 && part.next == 9 && part.epoch == 3));
    CHECK((part.age.count() == 70 && part.storeFailureAge->count() == 5));
    REQUIRE(part.records.size() == 2);
    CHECK((part.records[0].key == "kept" && *part.records[0].value == "a value" && part.records[0].offset == 5));
    CHECK((part.records[1].key == "dropped" && !part.records[1].value && part.records[1].offset == 8));
    CHECK_FALSE(std::get<stream_part>(roundTrip(stream_part{})).storeFailureAge);
    sent.records[0].value = std::string(100000, 'v');
    packStreamPart(sent);
    const auto packed = std::get<stream_part>(roundTrip(sent));
    REQUIRE(packed.records.size() == 2);
    CHECK((*packed.records[0].value == *sent.records[0].value && !packed.records[1].value));
    CHECK((packed.packedRecords == sent.packedRecords && packed.packedRecords.size() < 2000));

    version_evidence evidence{vm_id("vm-4"), 8, 12, service_id("model"), 6, {{77, {5, 2, {}}, {70'000, 4, {}}}}};
    evidence.routes[0].newVersion.delays.counts[3] = 9;
    evidence.routes[0].oldVersions.delays.counts[15] = 300;
    const auto list = std::get<version_evidence_list>(roundTrip(version_evidence_list{{evidence}}));
    REQUIRE((list.entries.size() == 1 && list.entries[0].routes.size() == 1));
    const version_evidence &entry = list.entries[0];
    CHECK((entry.vm == evidence.vm && entry.incarnation == 8 && entry.counter == 12));
    CHECK((entry.service == evidence.service && entry.orderPosition == 6));
    const version_evidence::route_counts &counts = entry.routes[0];
    CHECK((counts.route == 77 && counts.newVersion.answers == 5 && counts.newVersion.failures == 2));
    CHECK((counts.newVersion.delays.counts[3] == 9 && counts.oldVersions.failures == 4));
    CHECK(counts.oldVersions.delays.counts[15] == 255);
    CHECK(counts.oldVersions.answers == 65'535);
}

// Guards against evidence of crashed runners that another VM reads differently: it would isolate a sound prompt part.
TEST_CASE_METHOD(envelope_fixture, "crash evidence, all fields set or none, survives a round trip", "[wire]")
{
    crash_evidence sent;
    sent.parts.push_back({0xffffffffffffffff, 2, {{0xeeeeeeeeeeeeeeee, 7, 120ms}, {5, 8, 3ms}}, 40ms, {}});
    sent.parts.push_back({6, 0, {}, {}, crash_evidence::isolation{900ms, 30ms, 2}});
    sent.parts[0].isRequest = true;
    sent.runners = {{0xeeeeeeeeeeeeeeee, 110ms}};
    const auto read = std::get<crash_evidence>(roundTrip(sent));
    REQUIRE(read.parts.size() == 2);
    const crash_evidence::part &first = read.parts[0];
    CHECK((first.id == 0xffffffffffffffff && first.position == 2 && first.soundAge == 40ms && !first.isolated));
    REQUIRE(first.losses.size() == 2);
    CHECK((first.losses[0].runner == 0xeeeeeeeeeeeeeeee && first.losses[0].request == 7));
    CHECK((first.losses[0].age == 120ms && first.losses[1].age == 3ms));
    const crash_evidence::part &second = read.parts[1];
    CHECK((first.isRequest && !second.isRequest));
    CHECK((second.id == 6 && second.losses.empty() && !second.soundAge));
    REQUIRE(second.isolated);
    CHECK((second.isolated->age == 900ms && second.isolated->refusalAge == 30ms && second.isolated->probes == 2));
    REQUIRE(read.runners.size() == 1);
    CHECK((read.runners[0].runner == 0xeeeeeeeeeeeeeeee && read.runners[0].age == 110ms));
    CHECK(std::get<crash_evidence>(roundTrip(crash_evidence{})).parts.empty());
}

// Guards against a limit that another VM reads differently: it would send a runner in need too much, or nothing.
TEST_CASE_METHOD(envelope_fixture, "runner limits, stated or lifted, survive a round trip", "[wire]")
{
    const runner_limits sent{{{0xeeeeeeeeeeeeeeee, 1.6, 120ms}, {5, std::nullopt, 3ms}, {6, 0.0, -1ms}}};
    const auto read = std::get<runner_limits>(roundTrip(sent));
    REQUIRE(read.entries.size() == 3);
    CHECK((read.entries[0].runner == 0xeeeeeeeeeeeeeeee && read.entries[0].requestsPerSecond == 1.6));
    CHECK(read.entries[0].age == 120ms);
    CHECK((read.entries[1].runner == 5 && !read.entries[1].requestsPerSecond && read.entries[1].age == 3ms));
    CHECK((read.entries[2].requestsPerSecond == 0.0 && read.entries[2].age == 0ms));
    CHECK(std::get<runner_limits>(roundTrip(runner_limits{})).entries.empty());
    const double notFinite = std::numeric_limits<double>::quiet_NaN();
    CHECK(std::get<runner_limits>(roundTrip(runner_limits{{{5, notFinite, 3ms}}})).entries.empty());
}

// Guards against a part that exhausts the memory of its receiver, and against accepting damaged compressed records.
TEST_CASE_METHOD(envelope_fixture, "stream part, compressed records damaged or too large, is rejected", "[wire]")
{
    stream_part part{"s", 4, 9, {}, {}, {{"key", std::string(5000, 'v'), 5}}};
    packStreamPart(part);
    stream_part damaged = part;
    damaged.packedRecords[damaged.packedRecords.size() / 2] ^= 0x55;
    CHECK_FALSE(decodeEnvelope(encodeEnvelope({vm_id("vm-1"), 7, {1, 2}, damaged}).value()));
    stream_part large = part;
    large.unpackedBytes = 1U << 30;
    CHECK_FALSE(decodeEnvelope(encodeEnvelope({vm_id("vm-1"), 7, {1, 2}, large}).value()));
    stream_part shorter = part;
    shorter.unpackedBytes -= 1;
    CHECK_FALSE(decodeEnvelope(encodeEnvelope({vm_id("vm-1"), 7, {1, 2}, shorter}).value()));
    CHECK(decodeEnvelope(encodeEnvelope({vm_id("vm-1"), 7, {1, 2}, part}).value()));
}

// Guards against reads outside a damaged buffer, which the sanitizer build reports as failures.
TEST_CASE_METHOD(envelope_fixture, "envelope, bytes truncated or changed, fails or decodes within bounds", "[wire]")
{
    const std::string bytes =
        encodeEnvelope({vm_id("vm-1"), 7, {1, 2}, exchange_delta{{state()}, {{vm_id("vm-3"), 255, 4, true}}}}).value();
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK(faultOf(std::string_view(bytes).substr(0, length)));
    }
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        for (const int change : {0x01, 0x80, 0xff}) {
            std::string damaged = bytes;
            damaged[index] = static_cast<char>(damaged[index] ^ change);
            faultOf(damaged);
        }
    }
    SUCCEED("no read outside the buffer");
}

// Guards against a demand of NaN or infinity, which would make the sums on every VM invalid, and against small counts
// that change by rounding.
TEST_CASE_METHOD(envelope_fixture, "envelope, extreme demand, is decoded as finite and close value", "[wire]")
{
    const auto arrived = [](double rate, std::uint64_t count) {
        member_state sent = state();
        sent.demand[0].arrivalRate = rate;
        sent.demand[0].admitted = count;
        return std::get<exchange_delta>(roundTrip(exchange_delta{{sent}, {}})).states[0].demand[0];
    };
    CHECK(arrived(std::numeric_limits<double>::quiet_NaN(), 0).arrivalRate == 0.0);
    CHECK(arrived(-1.0, 0).arrivalRate == 0.0);
    CHECK(std::isfinite(arrived(std::numeric_limits<double>::infinity(), 0).arrivalRate));
    CHECK(arrived(1e-9, 0).arrivalRate > 0.0);
    for (const std::uint64_t count : {0, 1, 2, 3, 999, 2000}) {
        CHECK(arrived(1.0, count).admitted == count);
    }
    CHECK(static_cast<double>(arrived(1.0, 123'456'789).admitted) == Approx(123'456'789.0).epsilon(0.0003));
    CHECK(arrived(1.0, std::numeric_limits<std::uint64_t>::max()).admitted >= 1'000'000'000);
}

// Guards against misinterpreting messages of another protocol version, and against ids that can't be written as JSON.
TEST_CASE_METHOD(envelope_fixture, "envelope, other version or invalid UTF-8, fails with the matching fault", "[wire]")
{
    flatbuffers::FlatBufferBuilder builder;
    const auto sender = builder.CreateString("vm-1");
    const auto content = wire::Createheartbeat(builder, 1, 1, false).Union();
    wire::FinishenvelopeBuffer(
        builder,
        wire::Createenvelope(builder, wireProtocolVersion + 1, sender, 1, 1, 1, wire::message::heartbeat, content));
    CHECK(faultOf({reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()})
          == wire_fault::wrong_protocol_version);
    CHECK(faultOf(encodeEnvelope({vm_id("vm\xff"), 7, {}, heartbeat{}}).value()) == wire_fault::invalid_value);
    CHECK(faultOf(encodeEnvelope({vm_id("vm"), 7, {}, bill_copy_released{request_id("\xc3")}}).value())
          == wire_fault::invalid_value);
}

// Guards against resolving a number to the wrong name after a message was lost or could not be encoded.
TEST_CASE_METHOD(envelope_fixture, "envelopes of one connection, names sent once, are decoded in full", "[wire]")
{
    envelope_encoder encoder;
    envelope_decoder decoder;
    const envelope sent{vm_id("vm-1"), 7, {1, 2}, exchange_delta{{state()}, {}}};
    const std::string first = encoder.encode(sent).value();
    const std::string second = encoder.encode(sent).value();
    CHECK(second.size() < first.size());
    CHECK(decoder.decode(first));
    const envelope received = decoder.decode(second).value();
    CHECK(std::get<exchange_delta>(received.message).states[0].demand[0].group == caller_group_id("north/desk"));

    // Without the first message the second one can't be decoded.
    envelope_decoder late;
    CHECK_FALSE(late.decode(second));

    // After a message that could not be encoded, all names are sent again.
    member_state tooLong = state();
    tooLong.id = vm_id(std::string(70'000, 'x'));
    CHECK_FALSE(encoder.encode({vm_id("vm-1"), 7, {1, 2}, exchange_delta{{tooLong}, {}}}));
    CHECK_FALSE(encoder.encode({vm_id("vm-1"), 7, {1, 2}, configuration_text{1, 1, std::string(2U << 20, 'x')}}));
    const std::string third = encoder.encode(sent).value();
    CHECK(decoder.decode(third));
    CHECK(late.decode(third));
}
