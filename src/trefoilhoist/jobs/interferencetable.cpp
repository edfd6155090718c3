#include "trefoilhoist/jobs/interferencetable.h"

#include <algorithm>
#include <cmath>

namespace Trefoilhoist::Jobs {

namespace {

/// The assumed effect of a pair without evidence, and the weight of that assumption against evidence.
constexpr double defaultEffect = 1.5;
constexpr double defaultWeight = 0.01;
/// The weight of an earlier owner's estimate against evidence.
constexpr double priorWeight = 0.04;
/// An effect is reported to other processes once it has this much evidence, and again after this change.
constexpr double minReportedWeight = 0.02;
constexpr double minReportedChange = 0.3;
constexpr double maxEffect = 12.0;
/// The time in which evidence loses half of its weight.
constexpr Duration halfLife = seconds(30);
constexpr double minHalfLivesToDecay = 0.02;
/// Larger changes between two consecutive measurements come from a restart or a wrong measurement and are clamped.
constexpr double maxSlackChange = 2.0;
constexpr int sweeps = 3;
/// Standard deviation of a measured difference of slacks.
constexpr double measurementDeviation = 0.2;

/// Standard deviation of the effect of a pair without evidence.
double defaultDeviation()
{
    return measurementDeviation / std::sqrt(defaultWeight);
}

} // namespace

InterferenceTable::Estimate &InterferenceTable::Model::at(ImageNumber image)
{
    const auto i = static_cast<std::size_t>(image);
    if (estimates.size() <= i) {
        estimates.resize(i + 1);
    }
    return estimates[i];
}

const InterferenceTable::Estimate *InterferenceTable::Model::find(ImageNumber image) const
{
    const auto i = static_cast<std::size_t>(image);
    return i < estimates.size() ? &estimates[i] : nullptr;
}

void InterferenceTable::Model::decay(TimePoint now)
{
    const double halfLives = static_cast<double>((now - decayedAt).count()) / static_cast<double>(halfLife.count());
    if (halfLives <= minHalfLivesToDecay) {
        return;
    }
    const double keep = std::exp2(-halfLives);
    for (auto &it : estimates) {
        for (auto &product : it.shareProducts) {
            product *= keep;
        }
        if (it.slackProducts) {
            *it.slackProducts *= keep;
        }
    }
    decayedAt = now;
}

// Runs a few sweeps of coordinate descent, starting from the last solution.
void InterferenceTable::Model::solve()
{
    for (int i = 0; i < sweeps; ++i) {
        for (std::size_t image = 0; image < estimates.size(); ++image) {
            auto &it = estimates[image];
            if (!it.slackProducts) {
                continue;
            }
            const double weight = it.prior ? priorWeight : defaultWeight;
            double numerator = *it.slackProducts + weight * it.prior.value_or(defaultEffect);
            double denominator = weight;
            for (std::size_t other = 0; other < it.shareProducts.size(); ++other) {
                if (other == image) {
                    denominator += it.shareProducts[other];
                } else {
                    numerator -= it.shareProducts[other] * estimates[other].effect.value_or(defaultEffect);
                }
            }
            it.effect = std::clamp(numerator / denominator, 0.0, maxEffect);
        }
    }
}

ImageNumber InterferenceTable::numberOf(const std::string &image)
{
    const auto [it, added] = m_numbers.emplace(image, static_cast<ImageNumber>(m_images.size()));
    if (added) {
        m_images.push_back(image);
        m_models.emplace_back();
    }
    return it->second;
}

std::optional<ImageNumber> InterferenceTable::findNumber(const std::string &image) const
{
    const auto it = m_numbers.find(image);
    return it == m_numbers.end() ? std::nullopt : std::optional(it->second);
}

InterferenceTable::Model &InterferenceTable::modelOf(ImageNumber servingImage)
{
    return m_models[static_cast<std::size_t>(servingImage)];
}

void InterferenceTable::observe(const std::string &servingImage,
                                double slackChange,
                                const BestEffortShares &shareChanges,
                                TimePoint now)
{
    addEvidence(servingImage, std::clamp(-slackChange, -maxSlackChange, maxSlackChange), shareChanges, now);
}

void InterferenceTable::observeDrop(const std::string &servingImage,
                                    double slackDrop,
                                    const BestEffortShares &shares,
                                    TimePoint now)
{
    addEvidence(servingImage, slackDrop, shares, now);
}

void InterferenceTable::addEvidence(const std::string &servingImage,
                                    double slackDecrease,
                                    const BestEffortShares &shareChanges,
                                    TimePoint now)
{
    if (shareChanges.empty()) {
        return;
    }
    std::vector<std::pair<ImageNumber, double>> changes;
    for (const auto &[image, change] : shareChanges) {
        changes.emplace_back(numberOf(image), change);
    }
    const auto serving = numberOf(servingImage);
    auto &model = modelOf(serving);
    model.decay(now);
    for (const auto &[image, change] : changes) {
        // Makes room for all images of the change before any estimate is referred to.
        model.at(image);
    }
    for (const auto &[first, a] : changes) {
        auto &estimate = model.at(first);
        estimate.slackProducts = estimate.slackProducts.value_or(0) + a * slackDecrease;
        estimate.shareProducts.resize(std::max(estimate.shareProducts.size(), model.estimates.size()));
        for (const auto &[second, b] : changes) {
            estimate.shareProducts[static_cast<std::size_t>(second)] += a * b;
        }
    }
    model.solve();
    publishChanges(serving);
}

void InterferenceTable::publishChanges(ImageNumber servingImage)
{
    auto &estimates = modelOf(servingImage).estimates;
    for (std::size_t i = 0; i < estimates.size(); ++i) {
        auto &it = estimates[i];
        if (!it.effect || i >= it.shareProducts.size() || it.shareProducts[i] < minReportedWeight
            || (it.published && std::abs(*it.published - *it.effect) < minReportedChange)) {
            continue;
        }
        m_published.erase(it.publishedRevision);
        it.published = it.effect;
        it.publishedRevision = ++m_revision;
        m_published.emplace(it.publishedRevision, std::pair(servingImage, static_cast<ImageNumber>(i)));
    }
}

double InterferenceTable::effect(ImageNumber servingImage, ImageNumber bestEffortImage) const
{
    const auto *estimate = m_models[static_cast<std::size_t>(servingImage)].find(bestEffortImage);
    return estimate == nullptr ? defaultEffect : estimate->effect.value_or(defaultEffect);
}

double InterferenceTable::effect(const std::string &servingImage, const std::string &bestEffortImage) const
{
    const auto serving = findNumber(servingImage);
    const auto bestEffort = findNumber(bestEffortImage);
    return serving && bestEffort ? effect(*serving, *bestEffort) : defaultEffect;
}

double InterferenceTable::deviation(ImageNumber servingImage, ImageNumber bestEffortImage) const
{
    const auto *estimate = m_models[static_cast<std::size_t>(servingImage)].find(bestEffortImage);
    if (estimate == nullptr) {
        return defaultDeviation();
    }
    const auto i = static_cast<std::size_t>(bestEffortImage);
    const double evidence = i < estimate->shareProducts.size() ? estimate->shareProducts[i] : 0;
    return measurementDeviation / std::sqrt(evidence + (estimate->prior ? priorWeight : defaultWeight));
}

double InterferenceTable::deviation(const std::string &servingImage, const std::string &bestEffortImage) const
{
    const auto serving = findNumber(servingImage);
    const auto bestEffort = findNumber(bestEffortImage);
    return serving && bestEffort ? deviation(*serving, *bestEffort) : defaultDeviation();
}

double InterferenceTable::slackDropVariance(const std::string &servingImage, const BestEffortShares &shares) const
{
    double sum = 0;
    for (const auto &[image, share] : shares) {
        const double ofImage = share * deviation(servingImage, image);
        sum += ofImage * ofImage;
    }
    return sum;
}

double InterferenceTable::slackDrop(const std::string &servingImage, const BestEffortShares &shares) const
{
    double sum = 0;
    for (const auto &[image, share] : shares) {
        sum += effect(servingImage, image) * share;
    }
    return sum;
}

void InterferenceTable::set(const Wire::ImagePair &pair)
{
    const auto bestEffort = numberOf(pair.fillingImage);
    modelOf(numberOf(pair.servingImage)).at(bestEffort).effect = pair.effect;
}

void InterferenceTable::setPrior(const Wire::ImagePair &pair)
{
    const auto bestEffort = numberOf(pair.fillingImage);
    auto &estimate = modelOf(numberOf(pair.servingImage)).at(bestEffort);
    estimate.prior = estimate.prior.value_or(pair.effect);
    estimate.effect = estimate.effect.value_or(pair.effect);
}

Wire::ImagePair InterferenceTable::pairOf(std::size_t serving, std::size_t bestEffort, double effect) const
{
    Wire::ImagePair pair;
    pair.servingImage = m_images[serving];
    pair.fillingImage = m_images[bestEffort];
    pair.effect = effect;
    return pair;
}

std::vector<Wire::ImagePair> InterferenceTable::pairs() const
{
    std::vector<Wire::ImagePair> pairs;
    for (std::size_t serving = 0; serving < m_models.size(); ++serving) {
        const auto &estimates = m_models[serving].estimates;
        for (std::size_t i = 0; i < estimates.size(); ++i) {
            if (estimates[i].effect) {
                pairs.push_back(pairOf(serving, i, *estimates[i].effect));
            }
        }
    }
    return pairs;
}

std::vector<Wire::ImagePair> InterferenceTable::takeChanged(std::int64_t &revision) const
{
    std::vector<Wire::ImagePair> pairs;
    for (auto it = m_published.upper_bound(revision); it != m_published.end(); ++it) {
        const auto serving = static_cast<std::size_t>(it->second.first);
        const auto bestEffort = static_cast<std::size_t>(it->second.second);
        pairs.push_back(pairOf(serving, bestEffort, *m_models[serving].estimates[bestEffort].published));
    }
    revision = m_revision;
    return pairs;
}

} // namespace Trefoilhoist::Jobs
