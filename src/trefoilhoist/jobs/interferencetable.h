#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/world/clock.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Trefoilhoist::Jobs {

/// Shares of a worker's processors that tasks on lent processors use, by image.
using BestEffortShares = std::map<std::string, double>;

/// How tasks on lent processors slow the serving tasks beside them, by pair of images, learned from how tails change
/// when the shares of processors change.
///
/// The slack of a serving task (its target over its tail latency) drops by effect x share. Slow swings of a serving
/// task's own load cancel out in the changes from one figure to the next. Not thread-safe.
class InterferenceTable
{
public:
    /// Two figures in a row of one serving task: the change of its slack, and of the shares.
    void observe(const std::string &servingImage, double slackChange, const BestEffortShares &shareChanges, TimePoint now);

    /// Never below 0. For a pair that was not seen: what pairs do on average.
    [[nodiscard]] double effect(const std::string &servingImage, const std::string &fillingImage) const;
    /// Sum of effect x share.
    [[nodiscard]] double slackDrop(const std::string &servingImage, const BestEffortShares &shares) const;

    /// Takes an effect that another process has learned.
    void set(const Wire::ImagePair &pair);
    /// Takes what an earlier owner had learned, unless the pair has been seen since.
    void setPrior(const Wire::ImagePair &pair);
    /// All effects, to be remembered by another process.
    [[nodiscard]] std::vector<Wire::ImagePair> pairs() const;
    /// Pairs with enough evidence whose effect changed noticeably since they were taken last.
    std::vector<Wire::ImagePair> takeChanged(std::map<std::pair<std::string, std::string>, double> &reported) const;

private:
    struct Model {
        /// Sums of products of share changes, and of those with changes of the tail; old ones fade.
        std::map<std::pair<std::string, std::string>, double> shareProducts;
        std::map<std::string, double> tailProducts;
        std::map<std::string, double> effects;
        /// By filling image, what an earlier owner had learned.
        std::map<std::string, double> priors;
        TimePoint decayedAt;
    };
    static void solve(Model &model);

    std::map<std::string, Model> m_models;
};

} // namespace Trefoilhoist::Jobs
