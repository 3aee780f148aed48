#include <backpressure/backpressure.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr std::size_t bytesPerMegabyte = std::size_t {1} << 20;

// Of the VM's memory. The rest is for the process itself, the answers of leafs and the configuration.
constexpr std::size_t callerBytesDivisor = 4;
constexpr std::size_t connectionObjectsDivisor = 8;
constexpr std::size_t leafBytesDivisor = 8;
constexpr std::size_t incompleteAnswersDivisor = 12; // the buffer of an answer that grows takes up to twice its size

constexpr std::size_t bytesPerConnection = 8192; // its object, its parser and the socket in the kernel
constexpr std::size_t largestAccounts = 16; // connections that may reach the limit of one before all are at theirs
constexpr std::size_t fullLeafs = 16; // leafs that may reach the limit of one before all are at theirs

constexpr std::size_t linkDescriptors = 128; // listening sockets, the store, links to other VMs
constexpr std::size_t leafDescriptorsDivisor = 4; // least share of the descriptors for connections to leafs
constexpr std::size_t callerDescriptorsDivisor = 4; // least share of the descriptors for callers
constexpr std::size_t leafGrowth = 2; // connections to leafs may double before the limit is derived again
constexpr std::size_t refusalDivisor = 16; // of the descriptors for callers, for connections that are refused

std::size_t callerDescriptors(std::size_t descriptors, std::size_t leafConnections)
{
    const std::size_t forLeafs =
        std::max(descriptors / leafDescriptorsDivisor, leafConnections * leafGrowth) + linkDescriptors;
    const std::size_t left = descriptors > forLeafs ? descriptors - forLeafs : 0;
    const std::size_t forCallers = std::max(left, descriptors / callerDescriptorsDivisor);
    return std::max<std::size_t>(1, forCallers - forCallers / refusalDivisor);
}

} // namespace

pressure_limits limitsFor(const vm_resources &vm, std::size_t fixedConnections, std::size_t leafConnections)
{
    pressure_limits limits;
    limits.callerConnections =
        vm.descriptors == 0 ? fixedConnections : callerDescriptors(vm.descriptors, leafConnections);
    if (vm.memoryMegabytes == 0) {
        return limits;
    }
    const std::size_t memory = vm.memoryMegabytes * bytesPerMegabyte;
    const std::size_t forObjects = memory / connectionObjectsDivisor / bytesPerConnection;
    limits.callerConnections = std::min(limits.callerConnections, std::max<std::size_t>(1, forObjects));
    limits.callers.all = memory / callerBytesDivisor;
    limits.callers.perAccount = limits.callers.all / largestAccounts;
    limits.leafs.all = memory / leafBytesDivisor;
    limits.leafs.perAccount = limits.leafs.all / fullLeafs;
    limits.incompleteAnswers = memory / incompleteAnswersDivisor;
    return limits;
}

} // namespace chivelock
