#include "trefoilhoist/placement/policies/randomfit.h"

namespace Trefoilhoist::Detail {

RandomFit::RandomFit(std::uint64_t seed) : m_random(seed) { }

std::optional<double> RandomFit::score(DecisionContext &, const Candidate &, const Host &)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

} // namespace Trefoilhoist::Detail
