#include "entry/claim_order.h"

#include <algorithm>

namespace bramleygrade::entry {

namespace {

/// Number of entries that claim one after another, without waiting for larger ones first.
constexpr std::int64_t firstClaimants = 6;
/// Time between two turns; a claim and the first heartbeat of its scheduler usually take less.
constexpr microseconds turnInterval = 50 * millisecond;
/// The remaining entries spread over this time.
constexpr microseconds lateTurnsSpread = 200 * millisecond;
/// A share of less than the largest one over this divisor is much smaller.
constexpr std::int64_t muchSmallerDivisor = 2;

} // namespace

claim_turn findClaimTurn(const processor_shares &shares, const std::string &name,
                         const std::string &former, std::size_t seed)
{
    const auto own = shares.find(name);
    const std::int64_t ownShare = own == shares.end() ? 0 : own->second;
    std::int64_t largest = ownShare;
    std::int64_t rank = 0;
    for (const auto &[other, share] : shares) {
        if (other == former || other == name) {
            continue;
        }
        largest = std::max(largest, share);
        rank += std::make_pair(-share, other) < std::make_pair(-ownShare, name) ? 1 : 0;
    }
    if (rank < firstClaimants && ownShare * muchSmallerDivisor >= largest) {
        return {0, rank * turnInterval};
    }
    return {firstClaimants * turnInterval
                + static_cast<microseconds>(seed % static_cast<std::size_t>(lateTurnsSpread)),
            0};
}

} // namespace bramleygrade::entry
