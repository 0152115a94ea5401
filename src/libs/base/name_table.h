#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace crocuslane {

/// Maps the enumerators of one enum class to their names in text formats and logs, and back.
template<typename enum_type, std::size_t size>
class name_table
{
public:
    using entry = std::pair<enum_type, std::string_view>;

    constexpr explicit name_table(const std::array<entry, size> &entries)
        : m_entries(entries)
    {
    }

    /// "unknown" for a value without a name.
    constexpr std::string_view name(enum_type value) const
    {
        for (const entry &candidate : m_entries) {
            if (candidate.first == value) {
                return candidate.second;
            }
        }
        return "unknown";
    }

    constexpr std::optional<enum_type> value(std::string_view name) const
    {
        for (const entry &candidate : m_entries) {
            if (candidate.second == name) {
                return candidate.first;
            }
        }
        return std::nullopt;
    }

    /// All names, separated by ", ", for error messages.
    std::string allNames() const
    {
        std::string names;
        for (const entry &candidate : m_entries) {
            if (!names.empty()) {
                names += ", ";
            }
            names += candidate.second;
        }
        return names;
    }

private:
    std::array<entry, size> m_entries;
};

/// Makes a name_table from a braced list of pairs.
template<typename enum_type, std::size_t size>
constexpr name_table<enum_type, size> makeNameTable(const std::pair<enum_type, std::string_view> (&entries)[size])
{
    std::array<std::pair<enum_type, std::string_view>, size> copy{};
    for (std::size_t index = 0; index < size; ++index) {
        copy[index] = entries[index];
    }
    return name_table<enum_type, size>(copy);
}

} // namespace crocuslane
