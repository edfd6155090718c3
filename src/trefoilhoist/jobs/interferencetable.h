#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/world/clock.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Trefoilhoist::Jobs {

/// Shares of a worker's CPU that best-effort tasks use, by image.
using BestEffortShares = std::map<std::string, double>;

/// Estimates how much best-effort tasks slow the serving tasks beside them, for each pair of images, from how tail
/// latencies change when the CPU shares of best-effort tasks change.
///
/// The slack of a serving task (its target over its tail latency) drops by effect x share. The model uses differences
/// between consecutive measurements, in which slow changes of the serving task's own load cancel out. Not
/// thread-safe.
class InterferenceTable
{
public:
    /// Adds evidence from two consecutive measurements of one serving task: the change of its slack and the changes of
    /// the best-effort shares.
    void
    observe(const std::string &servingImage, double slackChange, const BestEffortShares &shareChanges, TimePoint now);

    /// Returns the estimated effect, which is never below 0. A pair without evidence has the average effect.
    [[nodiscard]] double effect(const std::string &servingImage, const std::string &bestEffortImage) const;
    /// Returns the expected drop of slack: the sum of effect x share.
    [[nodiscard]] double slackDrop(const std::string &servingImage, const BestEffortShares &shares) const;

    /// Sets an effect that another process has estimated.
    void set(const Wire::ImagePair &pair);
    /// Uses an earlier owner's estimate as the prior of a pair, unless this process has an estimate of its own.
    void setPrior(const Wire::ImagePair &pair);
    /// Returns all effects, for setPrior() in another process.
    [[nodiscard]] std::vector<Wire::ImagePair> pairs() const;
    /// Returns the pairs with enough evidence whose effect has changed noticeably from the value in `reported`, and
    /// updates `reported`.
    std::vector<Wire::ImagePair> takeChanged(std::map<std::pair<std::string, std::string>, double> &reported) const;

private:
    struct Model {
        /// Sums of the products of two share changes, and of a share change with the drop of slack. Older evidence
        /// decays exponentially.
        std::map<std::pair<std::string, std::string>, double> shareProducts;
        std::map<std::string, double> slackProducts;
        std::map<std::string, double> effects;
        /// Estimates of an earlier owner, by best-effort image.
        std::map<std::string, double> priors;
        TimePoint decayedAt;
    };
    static void solve(Model &model);

    std::map<std::string, Model> m_models;
};

} // namespace Trefoilhoist::Jobs
