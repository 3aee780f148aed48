#pragma once

/**
 * @file
 * Division of a lookup's shards among the VMs of a zone by their capacity and backlog, and what each VM knows of the
 * others for it. No input or output, no thread, no clock.
 */

#include <base/base.h>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivelock {

/** What a VM reports about itself to the VMs that delegate work to it. */
struct vm_load {
    double capacity = 0; ///< CPU capacity, in cores
    millis lag; ///< how late its reactor handles events
    std::uint32_t queuedBytes = 0; ///< written to its sockets and not yet sent

    bool operator==(const vm_load &) const = default;
};

namespace placement {

/** CPU time of one core for a request to a leaf and its answer. */
inline constexpr millis leafRequestCost(0.06);

/** CPU time of one core that a message to a helper, and the report on it, cost the delegating VM. */
inline constexpr millis messageCost(0.15);

/** @return how many shards a VM of @p capacity cores queries at once before delegating a part pays off. */
[[nodiscard]] std::size_t shardsAtOnce(double capacity);

/** @return @p lag as far as it still counts at @p age after it was measured. */
[[nodiscard]] millis fadedLag(millis lag, millis age);

/** How late a reactor runs: the maximum of the measured delays, decaying. */
class lag_meter
{
public:
    void record(millis delay, millis now);

    [[nodiscard]] millis lagAt(millis now) const;

private:
    millis m_lag;
    millis m_at;
};

/** What one VM knows of the capacity and backlog of its helpers, by their address. */
class vm_loads
{
public:
    void onLoad(const std::string &address, const vm_load &load, millis now);

    /**
     * @param elapsed from the delegation to its first report, or until now if there is none.
     * @param expected latest time of a report from a helper without backlog.
     */
    void onReportDelay(const std::string &address, millis elapsed, millis expected, millis now);

    /** @param shards delegated to the helper, which it works on after its earlier ones. */
    void onDelegated(const std::string &address, std::size_t shards, double capacity, millis now);

    /** @return the reported capacity in cores; nothing if the helper has reported none. */
    [[nodiscard]] std::optional<double> capacityOf(const std::string &address) const;

    /** @return the greater one of the reported lag and the measured excess delay, both fading with their age. */
    [[nodiscard]] millis lagOf(const std::string &address, millis now) const;

    /** @return how long the helper still works on what this VM delegated to it. */
    [[nodiscard]] millis busyFor(const std::string &address, millis now) const;

    /** Forgets the helpers for which @p isKept is false. */
    template<std::predicate<const std::string &> predicate>
    void retain(predicate isKept)
    {
        std::erase_if(m_vms, [&](const auto &one) { return !isKept(one.first); });
    }

    /** @return how many helpers have reported a load. */
    [[nodiscard]] std::size_t known() const;

    /** @return how many helpers have a lag that counts. */
    [[nodiscard]] std::size_t behind(millis now) const;

private:
    struct known_vm {
        std::optional<vm_load> load;
        millis loadAt;
        millis excess;
        millis excessAt;
        millis busyUntil;
    };

    [[nodiscard]] const known_vm *find(const std::string &address) const;

    std::unordered_map<std::string, known_vm> m_vms;
};

/** A VM that can take parts of a lookup. */
struct vm {
    std::size_t rank = 0; ///< position among the VMs of its zone
    double capacity = 1; ///< in cores
    millis lag;
    millis busy; ///< for earlier work of the planning VM
    bool isOwn = false; ///< the VM that plans; it needs no message
    bool hasMessage = false; ///< a message to it is sent anyway
};

/** Shards that are queried by the same VM. */
struct part {
    std::size_t shards = 0;
    std::vector<std::size_t> vms; ///< indexes of the VMs that may serve it
};

/** How parts were placed. */
struct placed_parts {
    std::uint64_t all = 0;
    std::uint64_t large = 0; ///< of these, on large VMs
    std::uint64_t own = 0; ///< of these, on the planning VM

    placed_parts &operator+=(const placed_parts &other);
};

inline constexpr std::size_t nobody = std::numeric_limits<std::size_t>::max();

/** @return whether the capacities are equal but for rounding. */
[[nodiscard]] bool isSameCapacity(double one, double other);

/** @return whether the capacities differ or a VM is behind; otherwise there is nothing to weigh. */
[[nodiscard]] bool isUneven(std::span<const vm> vms);

/** @return the capacity from which on a VM counts as large among @p vms: twice the median. */
[[nodiscard]] double largeCapacity(std::span<const vm> vms);

/**
 * @return indexes of the VMs that may serve part @p at of @p parts: large ones and those of its rank, so that a leaf
 * keeps connections from a few VMs. If all of them are far behind, any VM that is not.
 */
[[nodiscard]] std::vector<std::size_t> servingVms(std::span<const vm> vms, std::size_t at, std::size_t parts);

/**
 * Gives each part to the VM that is expected to finish it first.
 * @param ownCapacity of the planning VM, in cores.
 * @return for each part the index of its VM; @ref nobody if no VM may serve it.
 */
[[nodiscard]] std::vector<std::size_t>
plan(std::span<const part> parts, std::span<const vm> vms, double ownCapacity, seeded_random &random);

/** @param vmOfPart as @ref plan returns it. */
[[nodiscard]] placed_parts countPlaced(std::span<const std::size_t> vmOfPart, std::span<const vm> vms);

} // namespace placement

} // namespace chivelock
