#include "trefoilhoist/jobs/interferencetable.h"

#include <algorithm>
#include <cmath>

namespace Trefoilhoist::Jobs {

namespace {

/// What a pair is taken to do before it was seen, and how much evidence that counts as.
constexpr double unseenEffect = 1.5;
constexpr double unseenWeight = 0.01;
/// How much evidence a remembered effect counts as.
constexpr double rememberedWeight = 0.04;
/// Evidence from which other processes are told.
constexpr double toldWeight = 0.02;
constexpr double toldChange = 0.3;
constexpr double largestEffect = 12.0;
/// Evidence loses half of its weight in this time.
constexpr Duration halfLife = seconds(30);
/// Changes that are larger come from a restart or from a figure that is off.
constexpr double largestChange = 2.0;
constexpr int sweeps = 3;

} // namespace

void InterferenceTable::learn(const std::string &servingImage,
                              double slackChange,
                              const BestEffortShares &shareChanges,
                              TimePoint now)
{
    if (shareChanges.empty()) {
        return;
    }
    auto &model = m_models[servingImage];
    const double halves = static_cast<double>((now - model.fadedAt).count()) / static_cast<double>(halfLife.count());
    if (halves > 0.02) {
        const double keep = std::exp2(-halves);
        for (auto &[key, value] : model.products) {
            value *= keep;
        }
        for (auto &[key, value] : model.withTail) {
            value *= keep;
        }
        model.fadedAt = now;
    }
    const double change = std::clamp(-slackChange, -largestChange, largestChange);
    for (const auto &[first, a] : shareChanges) {
        for (const auto &[second, b] : shareChanges) {
            model.products[{first, second}] += a * b;
        }
        model.withTail[first] += a * change;
    }
    solve(model);
}

// A few sweeps of coordinate descent, from the last solution on.
void InterferenceTable::solve(Model &model)
{
    for (int i = 0; i < sweeps; ++i) {
        for (const auto &[image, withTail] : model.withTail) {
            const auto known = model.remembered.find(image);
            const double prior = known == model.remembered.end() ? unseenWeight : rememberedWeight;
            double rest = withTail + prior * (known == model.remembered.end() ? unseenEffect : known->second);
            double own = prior;
            for (auto it = model.products.lower_bound({image, {}});
                 it != model.products.end() && it->first.first == image;
                 ++it) {
                if (it->first.second == image) {
                    own += it->second;
                } else {
                    const auto other = model.effects.find(it->first.second);
                    rest -= it->second * (other == model.effects.end() ? unseenEffect : other->second);
                }
            }
            model.effects[image] = std::clamp(rest / own, 0.0, largestEffect);
        }
    }
}

double InterferenceTable::effect(const std::string &servingImage, const std::string &fillingImage) const
{
    const auto model = m_models.find(servingImage);
    if (model == m_models.end()) {
        return unseenEffect;
    }
    const auto it = model->second.effects.find(fillingImage);
    return it == model->second.effects.end() ? unseenEffect : it->second;
}

double InterferenceTable::drop(const std::string &servingImage, const BestEffortShares &shares) const
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

void InterferenceTable::remember(const Wire::ImagePair &pair)
{
    auto &model = m_models[pair.servingImage];
    model.remembered.emplace(pair.fillingImage, pair.effect);
    model.effects.emplace(pair.fillingImage, pair.effect);
}

std::vector<Wire::ImagePair> InterferenceTable::pairs() const
{
    std::vector<Wire::ImagePair> pairs;
    for (const auto &[serving, model] : m_models) {
        for (const auto &[filling, effect] : model.effects) {
            Wire::ImagePair pair;
            pair.servingImage = serving;
            pair.fillingImage = filling;
            pair.effect = effect;
            pairs.push_back(std::move(pair));
        }
    }
    return pairs;
}

std::vector<Wire::ImagePair>
InterferenceTable::takeChanged(std::map<std::pair<std::string, std::string>, double> &told) const
{
    std::vector<Wire::ImagePair> pairs;
    for (const auto &[serving, model] : m_models) {
        for (const auto &[filling, effect] : model.effects) {
            const auto own = model.products.find({filling, filling});
            const auto last = told.find({serving, filling});
            const bool news = last == told.end() || std::abs(last->second - effect) >= toldChange;
            if (own == model.products.end() || own->second < toldWeight || !news) {
                continue;
            }
            told[{serving, filling}] = effect;
            Wire::ImagePair pair;
            pair.servingImage = serving;
            pair.fillingImage = filling;
            pair.effect = effect;
            pairs.push_back(std::move(pair));
        }
    }
    return pairs;
}

} // namespace Trefoilhoist::Jobs
