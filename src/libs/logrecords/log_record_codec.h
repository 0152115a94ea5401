#pragma once

#include "logrecords/log_entry.h"

#include <boost/leaf/result.hpp>

#include <string_view>

namespace crocuslane {

enum class log_record_error {
    /// Not a well-formed group of entries.
    malformed,
    /// Well-formed, but an entry is of an unknown type or lacks a field.
    incomplete,
};

/// Payload of one log record for a group of entries.
std::string encodeEntries(const std::vector<log_entry> &entries);
/// Verifies all bytes first; any input is safe.
boost::leaf::result<std::vector<log_entry>> decodeEntries(std::string_view payload);
/// Bytes that an entry adds to a group, approximately.
std::size_t approximateSize(const log_entry &entry);

} // namespace crocuslane
