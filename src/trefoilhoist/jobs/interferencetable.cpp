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
/// Larger changes of slack come from a restart or a wrong measurement and are clamped.
constexpr double maxSlackChange = 2.0;
constexpr int sweeps = 3;

} // namespace

void InterferenceTable::observe(const std::string &servingImage,
                                double slackChange,
                                const BestEffortShares &shareChanges,
                                TimePoint now)
{
    if (shareChanges.empty()) {
        return;
    }
    auto &model = m_models[servingImage];
    const double elapsedHalfLives
        = static_cast<double>((now - model.decayedAt).count()) / static_cast<double>(halfLife.count());
    if (elapsedHalfLives > 0.02) {
        const double keep = std::exp2(-elapsedHalfLives);
        for (auto &[key, value] : model.shareProducts) {
            value *= keep;
        }
        for (auto &[key, value] : model.slackProducts) {
            value *= keep;
        }
        model.decayedAt = now;
    }
    const double slackDecrease = std::clamp(-slackChange, -maxSlackChange, maxSlackChange);
    for (const auto &[first, a] : shareChanges) {
        for (const auto &[second, b] : shareChanges) {
            model.shareProducts[{first, second}] += a * b;
        }
        model.slackProducts[first] += a * slackDecrease;
    }
    solve(model);
}

// Runs a few sweeps of coordinate descent, starting from the last solution.
void InterferenceTable::solve(Model &model)
{
    for (int i = 0; i < sweeps; ++i) {
        for (const auto &[image, slackProducts] : model.slackProducts) {
            const auto priorEffect = model.priors.find(image);
            const double prior = priorEffect == model.priors.end() ? defaultWeight : priorWeight;
            double numerator
                = slackProducts + prior * (priorEffect == model.priors.end() ? defaultEffect : priorEffect->second);
            double denominator = prior;
            for (auto it = model.shareProducts.lower_bound({image, {}});
                 it != model.shareProducts.end() && it->first.first == image;
                 ++it) {
                if (it->first.second == image) {
                    denominator += it->second;
                } else {
                    const auto other = model.effects.find(it->first.second);
                    numerator -= it->second * (other == model.effects.end() ? defaultEffect : other->second);
                }
            }
            model.effects[image] = std::clamp(numerator / denominator, 0.0, maxEffect);
        }
    }
}

double InterferenceTable::effect(const std::string &servingImage, const std::string &bestEffortImage) const
{
    const auto model = m_models.find(servingImage);
    if (model == m_models.end()) {
        return defaultEffect;
    }
    const auto it = model->second.effects.find(bestEffortImage);
    return it == model->second.effects.end() ? defaultEffect : it->second;
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
    m_models[pair.servingImage].effects[pair.fillingImage] = pair.effect;
}

void InterferenceTable::setPrior(const Wire::ImagePair &pair)
{
    auto &model = m_models[pair.servingImage];
    model.priors.emplace(pair.fillingImage, pair.effect);
    model.effects.emplace(pair.fillingImage, pair.effect);
}

std::vector<Wire::ImagePair> InterferenceTable::pairs() const
{
    std::vector<Wire::ImagePair> pairs;
    for (const auto &[serving, model] : m_models) {
        for (const auto &[bestEffort, effect] : model.effects) {
            Wire::ImagePair pair;
            pair.servingImage = serving;
            pair.fillingImage = bestEffort;
            pair.effect = effect;
            pairs.push_back(std::move(pair));
        }
    }
    return pairs;
}

std::vector<Wire::ImagePair>
InterferenceTable::takeChanged(std::map<std::pair<std::string, std::string>, double> &reported) const
{
    std::vector<Wire::ImagePair> pairs;
    for (const auto &[serving, model] : m_models) {
        for (const auto &[bestEffort, effect] : model.effects) {
            const auto evidence = model.shareProducts.find({bestEffort, bestEffort});
            const auto last = reported.find({serving, bestEffort});
            const bool changed = last == reported.end() || std::abs(last->second - effect) >= minReportedChange;
            if (evidence == model.shareProducts.end() || evidence->second < minReportedWeight || !changed) {
                continue;
            }
            reported[{serving, bestEffort}] = effect;
            Wire::ImagePair pair;
            pair.servingImage = serving;
            pair.fillingImage = bestEffort;
            pair.effect = effect;
            pairs.push_back(std::move(pair));
        }
    }
    return pairs;
}

} // namespace Trefoilhoist::Jobs
