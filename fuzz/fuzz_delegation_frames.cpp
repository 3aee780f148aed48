/** @file Fuzzes the reader of messages between a VM and its helpers: it decodes or rejects them. */

#include "frame_input.h"

#include <delegation/delegation.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace chivelock;
    decodeFrames({data, size}, [](std::span<const std::uint8_t> payload) {
        const auto message = decodeDelegationPayload(payload);
        if (!message) {
            return;
        }
        const std::string frame = encodeDelegationFrame(*message);
        const std::span encoded(reinterpret_cast<const std::uint8_t *>(frame.data()), frame.size());
        require(decodeDelegationPayload(encoded.subspan(framePrefixBytes)).has_value(),
                "a decoded message can be encoded and decoded again");
    });
    return 0;
}
