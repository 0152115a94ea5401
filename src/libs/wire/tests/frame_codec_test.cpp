#include "wire/frame_codec.h"

#include <catch2/catch.hpp>

using namespace crocuslane;

namespace {

class frame_fixture
{
protected:
    std::optional<std::string> nextFrame()
    {
        return leaf::try_handle_all([this] { return m_decoder.next(); },
                                    [this](const wire_error &error) {
                                        m_fault = error.fault;
                                        return std::optional<std::string>();
                                    },
                                    [] { return std::optional<std::string>("untyped error"); });
    }

    frame_decoder m_decoder;
    std::optional<wire_fault> m_fault;
};

} // namespace

// Guards against frames that are lost or joined when the network cuts the stream anywhere.
TEST_CASE_METHOD(frame_fixture, "frame decoder, bytes one by one, gives each frame once", "[wire]")
{
    const std::string bytes = encodeFrame("first").value() + encodeFrame(std::string(300, 'x')).value();
    std::vector<std::string> frames;
    for (const char byte : bytes) {
        m_decoder.append(std::string_view(&byte, 1));
        while (const std::optional<std::string> frame = nextFrame()) {
            frames.push_back(*frame);
        }
    }
    CHECK(frames == std::vector<std::string>{"first", std::string(300, 'x')});
    CHECK(m_decoder.pendingBytes() == 0);
}

// Guards against memory taken for a length that a peer only claims, and against reading on at a wrong position.
TEST_CASE_METHOD(frame_fixture, "frame decoder, length over the limit, fails at once and for good", "[wire]")
{
    m_decoder.append(std::string("\x01\x00\x10\x00", frameHeaderBytes));
    CHECK_FALSE(nextFrame());
    CHECK(m_fault == wire_fault::frame_too_large);
    m_fault.reset();
    m_decoder.append(encodeFrame("next").value());
    CHECK_FALSE(nextFrame());
    CHECK(m_fault == wire_fault::frame_too_large);
}

// Guards against a sender whose frames every receiver refuses.
TEST_CASE_METHOD(frame_fixture, "frame encoder, payload of a bad size, fails", "[wire]")
{
    CHECK_FALSE(encodeFrame(""));
    CHECK(encodeFrame(std::string(maximumFrameBytes, 'x')));
    CHECK_FALSE(encodeFrame(std::string(maximumFrameBytes + 1, 'x')));
    m_decoder.append(std::string(frameHeaderBytes, '\0'));
    CHECK_FALSE(nextFrame());
    CHECK(m_fault == wire_fault::frame_empty);
}
