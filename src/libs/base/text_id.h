#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace crocuslane {

/// A strongly typed textual identifier; ids with different tags don't convert into each other.
template<typename tag>
class text_id
{
public:
    text_id() = default;
    explicit text_id(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const
    {
        return m_value;
    }

    bool isEmpty() const
    {
        return m_value.empty();
    }

    bool operator==(const text_id &other) const = default;

    // Not defaulted: clang-tidy 14 reports the zero in the generated comparison as a null pointer.
    std::strong_ordering operator<=>(const text_id &other) const
    {
        return m_value <=> other.m_value;
    }

private:
    std::string m_value;
};

using request_id = text_id<struct request_id_tag>;
/// The router process on an entry VM.
using vm_id = text_id<struct vm_id_tag>;
/// A process on a backend server: a model runner or a plain service instance.
using runner_id = text_id<struct runner_id_tag>;
using organisation_id = text_id<struct organisation_id_tag>;
/// "organisation/group".
using caller_group_id = text_id<struct caller_group_id_tag>;
using service_id = text_id<struct service_id_tag>;
using operation_id = text_id<struct operation_id_tag>;
/// Kind of work that a model request asks for, as named by its caller.
using kind_id = text_id<struct kind_id_tag>;
using model_id = text_id<struct model_id_tag>;
/// "model@version".
using version_id = text_id<struct version_id_tag>;

} // namespace crocuslane

template<typename tag>
struct std::hash<crocuslane::text_id<tag>> {
    std::size_t operator()(const crocuslane::text_id<tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};
