#pragma once

#include "idl/gen/messages_types.h"
#include "trefoilhoist/world/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Trefoilhoist::Jobs {

/// Shares of a worker's CPU that best-effort tasks use, by image.
using BestEffortShares = std::map<std::string, double>;

/// Number of an image in one InterferenceTable.
using ImageNumber = int;

/// Estimates how much best-effort tasks slow the serving tasks beside them, for each pair of images, from how tail
/// latencies change when the CPU shares of best-effort tasks change.
///
/// The slack of a serving task (its target over its tail latency) drops by effect x share. The model uses differences,
/// in which slow changes of the serving task's own load cancel out. Not thread-safe.
class InterferenceTable
{
public:
    /// Returns the number of an image, which never changes. Numbers are small and consecutive.
    ImageNumber numberOf(const std::string &image);

    /// Adds evidence from two consecutive measurements of one serving task: the change of its slack and the changes of
    /// the best-effort shares.
    void
    observe(const std::string &servingImage, double slackChange, const BestEffortShares &shareChanges, TimePoint now);

    /// Adds evidence from one measurement of a serving task whose slack without best-effort tasks is known: the drop
    /// below it and the shares of the best-effort tasks beside it.
    void observeDrop(const std::string &servingImage, double slackDrop, const BestEffortShares &shares, TimePoint now);

    /// Returns the estimated effect, which is never below 0. A pair without evidence has the average effect.
    [[nodiscard]] double effect(const std::string &servingImage, const std::string &bestEffortImage) const;
    [[nodiscard]] double effect(ImageNumber servingImage, ImageNumber bestEffortImage) const;
    /// Returns the standard deviation of the estimated effect; large for a pair without evidence.
    [[nodiscard]] double deviation(ImageNumber servingImage, ImageNumber bestEffortImage) const;
    [[nodiscard]] double deviation(const std::string &servingImage, const std::string &bestEffortImage) const;
    /// Returns the variance of the expected drop of slack.
    [[nodiscard]] double slackDropVariance(const std::string &servingImage, const BestEffortShares &shares) const;
    /// Returns the expected drop of slack: the sum of effect x share.
    [[nodiscard]] double slackDrop(const std::string &servingImage, const BestEffortShares &shares) const;

    /// Sets an effect that another process has estimated.
    void set(const Wire::ImagePair &pair);
    /// Uses an earlier owner's estimate as the prior of a pair, unless this process has an estimate of its own.
    void setPrior(const Wire::ImagePair &pair);
    /// Returns all effects, for setPrior() in another process.
    [[nodiscard]] std::vector<Wire::ImagePair> pairs() const;
    /// Returns the effects that have enough evidence and were published after `revision`, and sets it to the newest. An
    /// effect is published again when it has changed noticeably.
    std::vector<Wire::ImagePair> takeChanged(std::int64_t &revision) const;

private:
    /// What is known of one best-effort image beside a serving image.
    struct Estimate {
        std::optional<double> effect;
        /// An earlier owner's estimate.
        std::optional<double> prior;
        /// Sum of the products of the share's changes and the drops of slack; set once a change was observed.
        std::optional<double> slackProducts;
        /// Sums of the products of the changes of this share and each other one. Older evidence decays exponentially.
        std::vector<double> shareProducts;
        /// The effect when it was last published, and the revision of that.
        std::optional<double> published;
        std::int64_t publishedRevision = 0;
    };
    struct Model {
        /// By the number of the best-effort image.
        std::vector<Estimate> estimates;
        TimePoint decayedAt;

        Estimate &at(ImageNumber image);
        [[nodiscard]] const Estimate *find(ImageNumber image) const;
        void decay(TimePoint now);
        void solve();
    };
    void addEvidence(const std::string &servingImage,
                     double slackDecrease,
                     const BestEffortShares &shareChanges,
                     TimePoint now);
    [[nodiscard]] Model &modelOf(ImageNumber servingImage);
    void publishChanges(ImageNumber servingImage);
    [[nodiscard]] std::optional<ImageNumber> findNumber(const std::string &image) const;
    [[nodiscard]] Wire::ImagePair pairOf(std::size_t serving, std::size_t bestEffort, double effect) const;

    std::unordered_map<std::string, ImageNumber> m_numbers;
    std::vector<std::string> m_images;
    /// By the number of the serving image.
    std::vector<Model> m_models;
    std::int64_t m_revision = 0;
    /// The published pairs of a serving and a best-effort image, by revision.
    std::map<std::int64_t, std::pair<ImageNumber, ImageNumber>> m_published;
};

} // namespace Trefoilhoist::Jobs
