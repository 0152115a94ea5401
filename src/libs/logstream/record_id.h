#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crocuslane {

/// Id of an append: the writer and a number that grows with each of its appends.
struct record_id {
    /// Stream and VM: answers to appends name the id only, so it differs between the streams of a process.
    std::string writer;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    std::string toText() const;
    /// Nothing for an id that no group_writer made.
    static std::optional<record_id> fromText(std::string_view text);
};

} // namespace crocuslane
