/** @file Fuzzes the reader of messages between the processes of the fleet: it decodes or rejects them. */

#include "frame_input.h"

#include <fleet/fleet.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace chivelock;
    decodeFrames({data, size}, [](std::span<const std::uint8_t> payload) {
        const auto message = decodeFleetPayload(payload);
        if (!message) {
            return;
        }
        const std::string frame = encodeFleetFrame(*message);
        const std::span encoded(reinterpret_cast<const std::uint8_t *>(frame.data()), frame.size());
        require(decodeFleetPayload(encoded.subspan(framePrefixBytes)).has_value(),
                "a decoded message can be encoded and decoded again");
    });
    return 0;
}
