#pragma once

#include "wire/wire_error.h"

#include <flatbuffers/flatbuffers.h>

#include <string>
#include <string_view>

namespace crocuslane {

/// A verified FlatBuffers buffer and its root table. Copies the bytes only when they are not aligned; otherwise the
/// bytes must outlive this object.
template<typename root>
class verified_buffer
{
public:
    static leaf::result<verified_buffer> make(std::string_view bytes, const char *identifier)
    {
        verified_buffer buffer;
        const char *data = bytes.data();
        if (reinterpret_cast<std::uintptr_t>(data) % alignof(std::max_align_t) != 0) {
            buffer.m_copy.assign(bytes.begin(), bytes.end());
            data = buffer.m_copy.data();
        }
        flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(data), bytes.size());
        if (!verifier.VerifyBuffer<root>(identifier)) {
            return leaf::new_error(wire_error{wire_fault::malformed, "bytes=" + std::to_string(bytes.size())});
        }
        buffer.m_root = flatbuffers::GetRoot<root>(data);
        return buffer;
    }

    const root *operator->() const
    {
        return m_root;
    }

    const root &operator*() const
    {
        return *m_root;
    }

private:
    // A vector, because moving it doesn't change the address of its bytes.
    std::vector<char> m_copy;
    const root *m_root = nullptr;
};

} // namespace crocuslane
