#include "wire/envelope_codec.h"

#include "wire/buffer_checks.h"
#include "wire/envelope_generated.hpp"
#include "wire/frame_codec.h"
#include "wire/log_scale.h"
#include "wire/name_list.h"
#include "wire/runner_limits_codec.h"

#include <zlib.h>

#include <algorithm>
#include <limits>

namespace crocuslane {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

struct encoded_message {
    wire::message type = wire::message::NONE;
    Offset<void> content;
};

template<typename table>
leaf::result<encoded_message> encoded(wire::message type, Offset<table> content)
{
    return encoded_message{type, content.Union()};
}

leaf::result<peer_message> invalid(std::string detail)
{
    return leaf::new_error(wire_error{wire_fault::invalid_value, std::move(detail)});
}

template<typename target>
target saturated(std::uint64_t value)
{
    return static_cast<target>(std::min<std::uint64_t>(value, std::numeric_limits<target>::max()));
}

constexpr std::uint16_t leavingBit = 0x8000;
constexpr std::uint64_t millisecondsPerAgeUnit = 10;

std::uint64_t nonNegativeAge(std::int64_t milliseconds)
{
    return milliseconds < 0 ? 0 : static_cast<std::uint64_t>(milliseconds);
}

leaf::result<encoded_message> encode(FlatBufferBuilder &builder, name_list_writer & /*names*/, const heartbeat &message)
{
    return encoded(
        wire::message::heartbeat,
        wire::Createheartbeat(
            builder, message.sequence, message.configurationVersion, message.isStopping, message.echoedSequence));
}

leaf::result<encoded_message>
encode(FlatBufferBuilder &builder, name_list_writer &names, const exchange_digest &message)
{
    std::vector<wire::digest_entry> entries;
    for (const exchange_digest::entry &entry : message.entries) {
        BOOST_LEAF_AUTO(name, names.add(entry.id.value()));
        entries.emplace_back(entry.incarnation, saturated<std::uint32_t>(entry.counter), name);
    }
    const auto nameList = names.write(builder);
    const auto entryVector = builder.CreateVectorOfStructs(entries);
    return encoded(wire::message::exchange_digest,
                   wire::Createexchange_digest(builder, nameList, entryVector, message.configurationVersion));
}

leaf::result<Offset<wire::member_state>>
encodeState(FlatBufferBuilder &builder, name_list_writer &names, const member_state &state)
{
    BOOST_LEAF_AUTO(id, names.add(state.id.value()));
    std::vector<wire::group_demand> demand;
    for (const group_demand &group : state.demand) {
        BOOST_LEAF_AUTO(name, names.add(group.group.value()));
        demand.emplace_back(name,
                            toLogScale(group.arrivalRate),
                            toLogScale(static_cast<double>(group.tokensInFlight)),
                            toLogScale(static_cast<double>(group.admitted)),
                            toLogScale(static_cast<double>(group.refused)),
                            toLogScale(static_cast<double>(group.queued)));
    }
    std::vector<wire::runner_use> runners;
    for (const runner_use &runner : state.runners) {
        BOOST_LEAF_AUTO(name, names.add(runner.runner.value()));
        const auto inFlight = static_cast<std::uint16_t>(std::min<std::uint32_t>(runner.inFlight, leavingBit - 1));
        runners.emplace_back(name, runner.isLeaving ? inFlight | leavingBit : inFlight);
    }
    const auto demandVector = builder.CreateVectorOfStructs(demand);
    const auto runnerVector = builder.CreateVectorOfStructs(runners);
    return wire::Createmember_state(builder,
                                    id,
                                    state.incarnation,
                                    state.counter,
                                    state.configurationVersion,
                                    state.logReadAgeMilliseconds,
                                    state.isStopping,
                                    demandVector,
                                    runnerVector,
                                    saturated<std::uint32_t>(nonNegativeAge(state.ageMilliseconds)));
}

// Sightings whose age or version lag exceeds the range of the format are omitted: saturated values would be wrong, and
// receivers have no use for a sighting that old.
bool fitsFormat(const member_sighting &sighting, std::uint64_t newestVersion)
{
    constexpr std::uint64_t maximum = std::numeric_limits<std::uint16_t>::max();
    return nonNegativeAge(sighting.ageMilliseconds) / millisecondsPerAgeUnit < maximum
        && newestVersion - sighting.configurationVersion <= maximum;
}

leaf::result<std::vector<wire::member_sighting>>
encodeSightings(name_list_writer &names, const std::vector<member_sighting> &sightings, std::uint64_t newestVersion)
{
    std::vector<wire::member_sighting> encoded;
    for (const member_sighting &sighting : sightings) {
        if (!fitsFormat(sighting, newestVersion)) {
            continue;
        }
        BOOST_LEAF_AUTO(name, names.add(sighting.id.value()));
        const std::uint64_t age = nonNegativeAge(sighting.ageMilliseconds);
        encoded.emplace_back(name,
                             static_cast<std::uint16_t>((age + millisecondsPerAgeUnit - 1) / millisecondsPerAgeUnit),
                             static_cast<std::uint16_t>(newestVersion - sighting.configurationVersion),
                             sighting.isStopping);
    }
    return encoded;
}

leaf::result<encoded_message> encode(FlatBufferBuilder &builder, name_list_writer &names, const exchange_delta &message)
{
    std::vector<Offset<wire::member_state>> states;
    for (const member_state &state : message.states) {
        BOOST_LEAF_AUTO(offset, encodeState(builder, names, state));
        states.push_back(offset);
    }
    std::uint64_t newestVersion = 0;
    for (const member_sighting &sighting : message.sightings) {
        newestVersion = std::max(newestVersion, sighting.configurationVersion);
    }
    BOOST_LEAF_AUTO(sightings, encodeSightings(names, message.sightings, newestVersion));
    const auto nameList = names.write(builder);
    const auto stateVector = builder.CreateVector(states);
    const auto sightingVector = builder.CreateVectorOfStructs(sightings);
    return encoded(wire::message::exchange_delta,
                   wire::Createexchange_delta(builder, nameList, stateVector, sightingVector, newestVersion));
}

leaf::result<encoded_message> encode(FlatBufferBuilder &builder, name_list_writer & /*names*/, const bill_copy &message)
{
    const bill &bill = message.content;
    const auto request = builder.CreateString(bill.request.value());
    const auto organisation = builder.CreateString(bill.organisation.value());
    const auto group = builder.CreateString(bill.group.value());
    const auto service = builder.CreateString(bill.service.value());
    const auto kind = builder.CreateString(bill.kind.value());
    const auto version = builder.CreateString(bill.version.value());
    return encoded(wire::message::bill_copy,
                   wire::Createbill_copy(builder,
                                         request,
                                         organisation,
                                         group,
                                         service,
                                         kind,
                                         version,
                                         bill.usage.promptTokens,
                                         bill.usage.cachedPromptTokens,
                                         bill.usage.outputTokens,
                                         bill.cost,
                                         bill.unixMilliseconds));
}

leaf::result<encoded_message>
encode(FlatBufferBuilder &builder, name_list_writer & /*names*/, const bill_copy_acknowledged &message)
{
    const auto request = builder.CreateString(message.request.value());
    return encoded(wire::message::bill_copy_acknowledged, wire::Createbill_copy_acknowledged(builder, request));
}

leaf::result<encoded_message>
encode(FlatBufferBuilder &builder, name_list_writer & /*names*/, const bill_copy_released &message)
{
    const auto request = builder.CreateString(message.request.value());
    return encoded(wire::message::bill_copy_released, wire::Createbill_copy_released(builder, request));
}

leaf::result<encoded_message>
encode(FlatBufferBuilder &builder, name_list_writer & /*names*/, const configuration_fetch &message)
{
    return encoded(wire::message::configuration_fetch, wire::Createconfiguration_fetch(builder, message.knownVersion));
}

leaf::result<encoded_message>
encode(FlatBufferBuilder &builder, name_list_writer & /*names*/, const configuration_text &message)
{
    const auto text = builder.CreateString(message.text);
    return encoded(wire::message::configuration_text,
                   wire::Createconfiguration_text(builder, message.version, message.asOf, text));
}

// A message that states a larger uncompressed size is rejected, because it could exhaust the memory of a small VM.
constexpr std::uint32_t maximumRecordListBytes = 8U << 20;

using record_vector = flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::stream_record>>>;

record_vector encodeRecords(FlatBufferBuilder &builder, const stream_part &message)
{
    std::vector<flatbuffers::Offset<wire::stream_record>> records;
    for (const stream_part::record &record : message.records) {
        const auto key = builder.CreateString(record.key);
        const auto value =
            record.value ? builder.CreateString(*record.value) : flatbuffers::Offset<flatbuffers::String>();
        records.push_back(wire::Createstream_record(builder, key, value, record.offset));
    }
    return builder.CreateVector(records);
}

leaf::result<encoded_message>
encode(FlatBufferBuilder &builder, name_list_writer & /*names*/, const stream_part &message)
{
    const auto stream = builder.CreateString(message.stream);
    record_vector records;
    flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> packed;
    if (message.packedRecords.empty()) {
        records = encodeRecords(builder, message);
    } else {
        packed = builder.CreateVector(reinterpret_cast<const std::uint8_t *>(message.packedRecords.data()),
                                      message.packedRecords.size());
    }
    return encoded(wire::message::stream_part,
                   wire::Createstream_part(builder,
                                           stream,
                                           message.first,
                                           message.next,
                                           static_cast<std::uint32_t>(message.age.count()),
                                           message.storeFailureAge ? message.storeFailureAge->count() : -1,
                                           records,
                                           packed,
                                           message.unpackedBytes,
                                           message.epoch));
}

std::array<std::uint8_t, delay_histogram::size> encodeDelays(const delay_histogram &delays)
{
    std::array<std::uint8_t, delay_histogram::size> encoded{};
    std::transform(delays.counts.begin(), delays.counts.end(), encoded.begin(), [](auto count) {
        return saturated<std::uint8_t>(count);
    });
    return encoded;
}

wire::version_route_counts encodeCounts(const version_evidence::route_counts &counts)
{
    const auto count = [](std::uint32_t value) { return saturated<std::uint16_t>(value); };
    const auto newDelays = encodeDelays(counts.newVersion.delays);
    const auto oldDelays = encodeDelays(counts.oldVersions.delays);
    return {counts.route,
            count(counts.newVersion.answers),
            count(counts.newVersion.failures),
            count(counts.oldVersions.answers),
            count(counts.oldVersions.failures),
            flatbuffers::span<const std::uint8_t, delay_histogram::size>(newDelays),
            flatbuffers::span<const std::uint8_t, delay_histogram::size>(oldDelays)};
}

leaf::result<encoded_message>
encode(FlatBufferBuilder &builder, name_list_writer &names, const version_evidence_list &message)
{
    std::vector<Offset<wire::version_evidence>> entries;
    for (const version_evidence &entry : message.entries) {
        BOOST_LEAF_AUTO(vm, names.add(entry.vm.value()));
        BOOST_LEAF_AUTO(service, names.add(entry.service.value()));
        std::vector<wire::version_route_counts> routes;
        for (const version_evidence::route_counts &counts : entry.routes) {
            routes.push_back(encodeCounts(counts));
        }
        const auto routeVector = builder.CreateVectorOfStructs(routes);
        entries.push_back(wire::Createversion_evidence(builder,
                                                       vm,
                                                       entry.incarnation,
                                                       saturated<std::uint32_t>(entry.counter),
                                                       service,
                                                       entry.orderPosition,
                                                       routeVector));
    }
    const auto nameList = names.write(builder);
    const auto entryVector = builder.CreateVector(entries);
    return encoded(wire::message::version_evidence_list,
                   wire::Createversion_evidence_list(builder, nameList, entryVector));
}

std::uint32_t wireAge(std::chrono::milliseconds age)
{
    return saturated<std::uint32_t>(nonNegativeAge(age.count()));
}

leaf::result<encoded_message>
encode(FlatBufferBuilder &builder, name_list_writer & /*names*/, const crash_evidence &message)
{
    std::vector<Offset<wire::suspect_part>> parts;
    for (const crash_evidence::part &part : message.parts) {
        std::vector<wire::lost_attempt> losses;
        for (const crash_evidence::lost_attempt &loss : part.losses) {
            losses.emplace_back(loss.runner, loss.request, wireAge(loss.age));
        }
        const auto lossVector = builder.CreateVectorOfStructs(losses);
        const crash_evidence::isolation isolation = part.isolated.value_or(crash_evidence::isolation{});
        parts.push_back(wire::Createsuspect_part(builder,
                                                 part.id,
                                                 part.position,
                                                 lossVector,
                                                 part.soundAge ? wireAge(*part.soundAge) : -1LL,
                                                 part.isolated ? wireAge(isolation.age) : -1LL,
                                                 wireAge(isolation.refusalAge),
                                                 isolation.probes,
                                                 part.isRequest));
    }
    std::vector<wire::crashed_runner> runners;
    for (const crash_evidence::crashed_runner &runner : message.runners) {
        runners.emplace_back(runner.runner, wireAge(runner.age));
    }
    const auto partVector = builder.CreateVector(parts);
    const auto runnerVector = builder.CreateVectorOfStructs(runners);
    return encoded(wire::message::crash_evidence, wire::Createcrash_evidence(builder, partVector, runnerVector));
}

leaf::result<encoded_message>
encode(FlatBufferBuilder &builder, name_list_writer & /*names*/, const runner_limits &message)
{
    return encoded(wire::message::runner_limits, encodeRunnerLimits(builder, message));
}

// Treats an absent vector as empty.
template<typename element>
std::size_t sizeOf(const flatbuffers::Vector<element> *vector)
{
    return vector == nullptr ? 0 : vector->size();
}

leaf::result<peer_message> decode(name_list_reader & /*names*/, const wire::heartbeat &message)
{
    return heartbeat{
        message.sequence(), message.configuration_version(), message.is_stopping(), message.echoed_sequence()};
}

leaf::result<peer_message> decode(name_list_reader &names, const wire::exchange_digest &message)
{
    if (auto appended = names.append(*message.names()); !appended) {
        return appended.error();
    }
    exchange_digest digest;
    digest.configurationVersion = message.configuration_version();
    for (std::size_t index = 0; index < sizeOf(message.entries()); ++index) {
        const wire::digest_entry &entry = *message.entries()->Get(index);
        BOOST_LEAF_AUTO(id, names.at(entry.name()));
        digest.entries.push_back({vm_id(id), entry.incarnation(), entry.counter()});
    }
    return digest;
}

leaf::result<member_state> decodeState(const name_list_reader &names, const wire::member_state &message)
{
    member_state state;
    BOOST_LEAF_AUTO(id, names.at(message.name()));
    state.id = vm_id(id);
    state.incarnation = message.incarnation();
    state.counter = message.counter();
    state.configurationVersion = message.configuration_version();
    state.logReadAgeMilliseconds = message.log_read_age_ms();
    state.isStopping = message.is_stopping();
    for (std::size_t index = 0; index < sizeOf(message.demand()); ++index) {
        const wire::group_demand &group = *message.demand()->Get(index);
        BOOST_LEAF_AUTO(name, names.at(group.name()));
        state.demand.push_back({caller_group_id(name),
                                fromLogScale(group.arrival_rate()),
                                countFromLogScale(group.tokens_in_flight()),
                                countFromLogScale(group.admitted()),
                                countFromLogScale(group.refused()),
                                countFromLogScale(group.queued())});
    }
    for (std::size_t index = 0; index < sizeOf(message.runners()); ++index) {
        const wire::runner_use &runner = *message.runners()->Get(index);
        BOOST_LEAF_AUTO(name, names.at(runner.name()));
        state.runners.push_back({runner_id(name),
                                 static_cast<std::uint32_t>(runner.in_flight() & ~leavingBit),
                                 (runner.in_flight() & leavingBit) != 0});
    }
    state.ageMilliseconds = message.age_ms();
    return state;
}

leaf::result<peer_message> decode(name_list_reader &names, const wire::exchange_delta &message)
{
    if (auto appended = names.append(*message.names()); !appended) {
        return appended.error();
    }
    exchange_delta delta;
    for (std::size_t index = 0; index < sizeOf(message.states()); ++index) {
        BOOST_LEAF_AUTO(state, decodeState(names, *message.states()->Get(index)));
        delta.states.push_back(std::move(state));
    }
    for (std::size_t index = 0; index < sizeOf(message.sightings()); ++index) {
        const wire::member_sighting &sighting = *message.sightings()->Get(index);
        BOOST_LEAF_AUTO(name, names.at(sighting.name()));
        if (sighting.version_lag() > message.newest_version()) {
            return invalid("version lag of a sighting is larger than the newest version");
        }
        delta.sightings.push_back({vm_id(name),
                                   static_cast<std::int64_t>(sighting.age_cs() * millisecondsPerAgeUnit),
                                   message.newest_version() - sighting.version_lag(),
                                   sighting.is_stopping()});
    }
    return delta;
}

leaf::result<peer_message> decode(name_list_reader & /*names*/, const wire::bill_copy &message)
{
    for (const auto *field : {message.request(),
                              message.organisation(),
                              message.group(),
                              message.service(),
                              message.kind(),
                              message.version()}) {
        if (!isValidUtf8(field->string_view())) {
            return invalid("id in a bill is not UTF-8");
        }
    }
    bill bill;
    bill.request = request_id(message.request()->str());
    bill.organisation = organisation_id(message.organisation()->str());
    bill.group = caller_group_id(message.group()->str());
    bill.service = service_id(message.service()->str());
    bill.kind = kind_id(message.kind()->str());
    bill.version = version_id(message.version()->str());
    bill.usage = {message.prompt_tokens(), message.cached_prompt_tokens(), message.output_tokens()};
    bill.cost = message.cost();
    bill.unixMilliseconds = message.unix_ms();
    return bill_copy{std::move(bill)};
}

leaf::result<peer_message> decode(name_list_reader & /*names*/, const wire::bill_copy_acknowledged &message)
{
    if (!isValidUtf8(message.request()->string_view())) {
        return invalid("request id is not UTF-8");
    }
    return bill_copy_acknowledged{request_id(message.request()->str())};
}

leaf::result<peer_message> decode(name_list_reader & /*names*/, const wire::bill_copy_released &message)
{
    if (!isValidUtf8(message.request()->string_view())) {
        return invalid("request id is not UTF-8");
    }
    return bill_copy_released{request_id(message.request()->str())};
}

leaf::result<peer_message> decode(name_list_reader & /*names*/, const wire::configuration_fetch &message)
{
    return configuration_fetch{message.known_version()};
}

leaf::result<peer_message> decode(name_list_reader & /*names*/, const wire::configuration_text &message)
{
    if (!isValidUtf8(message.text()->string_view())) {
        return invalid("configuration text is not UTF-8");
    }
    return configuration_text{message.version(), message.as_of(), message.text()->str()};
}

using wire_records = flatbuffers::Vector<flatbuffers::Offset<wire::stream_record>>;

leaf::error_id invalidPart(std::string detail)
{
    return leaf::new_error(wire_error{wire_fault::invalid_value, std::move(detail)});
}

leaf::result<void> decodeRecords(const wire_records *records, stream_part &part)
{
    for (std::size_t index = 0; index < sizeOf(records); ++index) {
        const wire::stream_record &record = *records->Get(static_cast<flatbuffers::uoffset_t>(index));
        if (!isValidUtf8(record.key()->string_view())) {
            return invalidPart("key is not UTF-8");
        }
        part.records.push_back({record.key()->str(), std::nullopt, record.offset()});
        if (record.value() != nullptr) {
            part.records.back().value = record.value()->str();
        }
    }
    return {};
}

leaf::result<void> unpackRecords(const wire::stream_part &message, stream_part &part)
{
    part.unpackedBytes = message.unpacked_bytes();
    if (part.unpackedBytes > maximumRecordListBytes) {
        return invalidPart("record list is too large");
    }
    part.packedRecords.assign(reinterpret_cast<const char *>(message.packed()->data()), message.packed()->size());
    std::string list(part.unpackedBytes, '\0');
    uLongf size = part.unpackedBytes;
    const int result = ::uncompress(reinterpret_cast<Bytef *>(list.data()),
                                    &size,
                                    reinterpret_cast<const Bytef *>(part.packedRecords.data()),
                                    part.packedRecords.size());
    if (result != Z_OK || size != part.unpackedBytes) {
        return invalidPart("record list can't be decompressed");
    }
    BOOST_LEAF_AUTO(buffer, verified_buffer<wire::stream_record_list>::make(list, nullptr));
    return decodeRecords(buffer->records(), part);
}

leaf::result<peer_message> decode(name_list_reader & /*names*/, const wire::stream_part &message)
{
    if (!isValidUtf8(message.stream()->string_view())) {
        return invalid("stream is not UTF-8");
    }
    stream_part part;
    part.stream = message.stream()->str();
    part.first = message.first();
    part.next = message.next();
    part.epoch = message.epoch();
    part.age = std::chrono::milliseconds(message.age_ms());
    if (message.disturbed_age_ms() >= 0) {
        part.storeFailureAge = std::chrono::milliseconds(message.disturbed_age_ms());
    }
    if (sizeOf(message.packed()) > 0) {
        BOOST_LEAF_CHECK(unpackRecords(message, part));
    } else {
        BOOST_LEAF_CHECK(decodeRecords(message.records(), part));
    }
    return part;
}

delay_histogram decodeDelays(const flatbuffers::Array<std::uint8_t, delay_histogram::size> &delays)
{
    delay_histogram decoded;
    std::copy(delays.begin(), delays.end(), decoded.counts.begin());
    return decoded;
}

version_evidence::route_counts decodeCounts(const wire::version_route_counts &counts)
{
    return {counts.route(),
            {counts.new_answers(), counts.new_failures(), decodeDelays(*counts.new_delays())},
            {counts.old_answers(), counts.old_failures(), decodeDelays(*counts.old_delays())}};
}

leaf::result<peer_message> decode(name_list_reader &names, const wire::version_evidence_list &message)
{
    if (auto appended = names.append(*message.names()); !appended) {
        return appended.error();
    }
    version_evidence_list list;
    for (std::size_t index = 0; index < sizeOf(message.entries()); ++index) {
        const wire::version_evidence &entry = *message.entries()->Get(static_cast<flatbuffers::uoffset_t>(index));
        BOOST_LEAF_AUTO(vm, names.at(entry.vm()));
        BOOST_LEAF_AUTO(service, names.at(entry.service()));
        version_evidence evidence{
            vm_id(vm), entry.incarnation(), entry.counter(), service_id(service), entry.order_position(), {}};
        for (std::size_t route = 0; route < sizeOf(entry.routes()); ++route) {
            evidence.routes.push_back(decodeCounts(*entry.routes()->Get(static_cast<flatbuffers::uoffset_t>(route))));
        }
        list.entries.push_back(std::move(evidence));
    }
    return list;
}

crash_evidence::part decodePart(const wire::suspect_part &part)
{
    crash_evidence::part result;
    result.id = part.id();
    result.isRequest = part.is_request();
    result.position = part.position();
    for (std::size_t index = 0; index < sizeOf(part.losses()); ++index) {
        const wire::lost_attempt &loss = *part.losses()->Get(static_cast<flatbuffers::uoffset_t>(index));
        result.losses.push_back({loss.runner(), loss.request(), std::chrono::milliseconds(loss.age_ms())});
    }
    if (part.sound_age_ms() >= 0) {
        result.soundAge = std::chrono::milliseconds(saturated<std::uint32_t>(part.sound_age_ms()));
    }
    if (part.isolation_age_ms() >= 0) {
        result.isolated =
            crash_evidence::isolation{std::chrono::milliseconds(saturated<std::uint32_t>(part.isolation_age_ms())),
                                      std::chrono::milliseconds(part.refusal_age_ms()),
                                      part.probes()};
    }
    return result;
}

leaf::result<peer_message> decode(name_list_reader & /*names*/, const wire::crash_evidence &message)
{
    crash_evidence evidence;
    for (std::size_t index = 0; index < sizeOf(message.parts()); ++index) {
        evidence.parts.push_back(decodePart(*message.parts()->Get(static_cast<flatbuffers::uoffset_t>(index))));
    }
    for (std::size_t index = 0; index < sizeOf(message.runners()); ++index) {
        const wire::crashed_runner &runner = *message.runners()->Get(static_cast<flatbuffers::uoffset_t>(index));
        evidence.runners.push_back({runner.runner(), std::chrono::milliseconds(runner.age_ms())});
    }
    return evidence;
}

leaf::result<peer_message> decodeMessage(name_list_reader &names, const wire::envelope &envelope)
{
    switch (envelope.message_type()) {
    case wire::message::heartbeat:
        return decode(names, *envelope.message_as_heartbeat());
    case wire::message::exchange_digest:
        return decode(names, *envelope.message_as_exchange_digest());
    case wire::message::exchange_delta:
        return decode(names, *envelope.message_as_exchange_delta());
    case wire::message::bill_copy:
        return decode(names, *envelope.message_as_bill_copy());
    case wire::message::bill_copy_acknowledged:
        return decode(names, *envelope.message_as_bill_copy_acknowledged());
    case wire::message::bill_copy_released:
        return decode(names, *envelope.message_as_bill_copy_released());
    case wire::message::configuration_fetch:
        return decode(names, *envelope.message_as_configuration_fetch());
    case wire::message::configuration_text:
        return decode(names, *envelope.message_as_configuration_text());
    case wire::message::stream_part:
        return decode(names, *envelope.message_as_stream_part());
    case wire::message::version_evidence_list:
        return decode(names, *envelope.message_as_version_evidence_list());
    case wire::message::crash_evidence:
        return decode(names, *envelope.message_as_crash_evidence());
    case wire::message::runner_limits:
        return decodeRunnerLimits(*envelope.message_as_runner_limits());
    case wire::message::NONE:
        break;
    }
    // The verifier accepts unknown types of the union.
    return leaf::new_error(
        wire_error{wire_fault::unknown_message, "type=" + std::to_string(static_cast<int>(envelope.message_type()))});
}

leaf::result<std::string> encodePayload(name_list_writer &names, const envelope &envelope)
{
    FlatBufferBuilder builder;
    BOOST_LEAF_AUTO(message,
                    std::visit([&](const auto &content) { return encode(builder, names, content); }, envelope.message));
    const auto sender = builder.CreateString(envelope.sender.value());
    wire::FinishenvelopeBuffer(builder,
                               wire::Createenvelope(builder,
                                                    wireProtocolVersion,
                                                    sender,
                                                    envelope.incarnation,
                                                    envelope.time.milliseconds,
                                                    envelope.time.logical,
                                                    message.type,
                                                    message.content));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
}

} // namespace

void packStreamPart(stream_part &part)
{
    FlatBufferBuilder builder;
    builder.Finish(wire::Createstream_record_list(builder, encodeRecords(builder, part)));
    uLongf size = ::compressBound(builder.GetSize());
    std::string packed(size, '\0');
    if (::compress2(reinterpret_cast<Bytef *>(packed.data()),
                    &size,
                    builder.GetBufferPointer(),
                    builder.GetSize(),
                    Z_BEST_SPEED)
        != Z_OK) {
        return;
    }
    packed.resize(size);
    part.packedRecords = std::move(packed);
    part.unpackedBytes = builder.GetSize();
}

envelope_encoder::envelope_encoder()
    : m_names(std::make_unique<name_list_writer>())
{
}

envelope_encoder::~envelope_encoder() = default;

leaf::result<std::string> envelope_encoder::encode(const envelope &envelope)
{
    m_names->beginMessage();
    leaf::result<std::string> payload = encodePayload(*m_names, envelope);
    if (!payload) {
        m_names->reset();
        return payload;
    }
    if (payload.value().size() > maximumFrameBytes) {
        m_names->reset();
        return leaf::new_error(
            wire_error{wire_fault::frame_too_large, "bytes=" + std::to_string(payload.value().size())});
    }
    return payload;
}

envelope_decoder::envelope_decoder()
    : m_names(std::make_unique<name_list_reader>())
{
}

envelope_decoder::~envelope_decoder() = default;

leaf::result<envelope> envelope_decoder::decode(std::string_view payload)
{
    BOOST_LEAF_AUTO(buffer, verified_buffer<wire::envelope>::make(payload, wire::envelopeIdentifier()));
    if (buffer->protocol_version() != wireProtocolVersion) {
        return leaf::new_error(
            wire_error{wire_fault::wrong_protocol_version, "version=" + std::to_string(buffer->protocol_version())});
    }
    if (!isValidUtf8(buffer->sender()->string_view())) {
        return leaf::new_error(wire_error{wire_fault::invalid_value, "sender id is not UTF-8"});
    }
    BOOST_LEAF_AUTO(message, decodeMessage(*m_names, *buffer));
    return envelope{vm_id(buffer->sender()->str()),
                    buffer->incarnation(),
                    {buffer->time_ms(), buffer->time_logical()},
                    std::move(message)};
}

leaf::result<std::string> encodeEnvelope(const envelope &envelope)
{
    return envelope_encoder().encode(envelope);
}

leaf::result<envelope> decodeEnvelope(std::string_view payload)
{
    return envelope_decoder().decode(payload);
}

} // namespace crocuslane
