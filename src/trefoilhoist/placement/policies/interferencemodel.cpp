#include "trefoilhoist/placement/policies/interferencemodel.h"

#include <algorithm>
#include <cmath>

namespace Trefoilhoist::Detail {

namespace {

/// Number of weights that describe the service alone: constant, load and load squared.
constexpr std::size_t baseColumns = 3;
/// Maximum number of columns per service; classes beyond it keep the prior.
constexpr std::size_t maxColumns = baseColumns + 24;
constexpr double initialNoiseVariance = 0.04;
constexpr double minNoiseVariance = 0.0025;
constexpr double noiseSmoothing = 0.02;
constexpr double initialConstantVariance = 1.0;
constexpr double loadVariance = 0.5;
/// Residuals are clipped at this many standard deviations to limit the effect of outliers.
constexpr double clipDeviations = 3;
constexpr double maxIntensity = 4;
/// Effect of a class on an idle service, as a fraction of its effect at the reference rate.
constexpr double idleIntensityFactor = 0.4;
constexpr double minRequestsPerSecond = 0.1;

double
bilinearForm(const std::vector<double> &matrix, const std::vector<double> &left, const std::vector<double> &right)
{
    double sum = 0;
    const auto n = left.size();
    for (std::size_t i = 0; i < n; ++i) {
        if (left[i] == 0) {
            continue;
        }
        for (std::size_t j = 0; j < n; ++j) {
            sum += left[i] * matrix[i * n + j] * right[j];
        }
    }
    return sum;
}

} // namespace

InterferenceModel::InterferenceModel(const Settings &settings) : m_settings(settings) { }

int InterferenceModel::classIndex(const std::string &batchClass)
{
    return m_classes.try_emplace(batchClass, static_cast<int>(m_classes.size())).first->second;
}

std::vector<double> InterferenceModel::baseFeatures(double intensity)
{
    return {1.0, intensity, intensity * intensity};
}

double InterferenceModel::intensityFactor(double intensity)
{
    return idleIntensityFactor + (1 - idleIntensityFactor) * intensity;
}

int InterferenceModel::columnOf(const ServiceModel &service, int batchClass)
{
    const auto n = static_cast<std::size_t>(batchClass);
    return n < service.columns.size() ? service.columns[n] : -1;
}

Prediction InterferenceModel::priorEffect(const ServiceModel &service, int batchClass) const
{
    double sum = m_settings.priorEffect;
    double count = 1;
    for (std::size_t n = baseColumns; n < service.weights.size(); ++n) {
        sum += std::max(service.weights[n], 0.0);
        ++count;
    }
    for (const auto &[id, other] : m_services) {
        const int column = columnOf(other, batchClass);
        if (&other != &service && column >= 0) {
            // The same class's effect on another service is better evidence than other classes' effects, so it counts
            // twice.
            sum += 2 * std::max(other.weights[static_cast<std::size_t>(column)], 0.0);
            count += 2;
        }
    }
    return {sum / count, m_settings.priorDeviation};
}

int InterferenceModel::addClassColumn(ServiceModel &service, int batchClass)
{
    const auto n = service.weights.size();
    if (n >= maxColumns) {
        return -1;
    }
    const auto prior = priorEffect(service, batchClass);
    std::vector<double> widened((n + 1) * (n + 1), 0.0);
    for (std::size_t i = 0; i < n; ++i) {
        for (std::size_t j = 0; j < n; ++j) {
            widened[i * (n + 1) + j] = service.covariance[i * n + j];
        }
    }
    widened[n * (n + 1) + n] = prior.deviation * prior.deviation;
    service.covariance = std::move(widened);
    service.weights.push_back(prior.mean);
    service.columns.resize(std::max(service.columns.size(), static_cast<std::size_t>(batchClass) + 1), -1);
    service.columns[static_cast<std::size_t>(batchClass)] = static_cast<int>(n);
    return static_cast<int>(n);
}

void InterferenceModel::initialize(ServiceModel &service, double requestsPerSecond, double logP99) const
{
    service.referenceRate = requestsPerSecond;
    service.noiseVariance = initialNoiseVariance;
    service.weights = {logP99, 0.0, 0.0};
    service.covariance = {initialConstantVariance, 0, 0, 0, loadVariance, 0, 0, 0, loadVariance};
}

void InterferenceModel::observe(const ServiceId &id,
                                const WorkerId &worker,
                                double requestsPerSecond,
                                Duration p99,
                                const std::vector<ClassLoad> &loads)
{
    if (requestsPerSecond < minRequestsPerSecond || p99 <= Duration{}) {
        return;
    }
    const double logP99 = std::log(std::chrono::duration<double, std::milli>(p99).count());
    auto &service = m_services[id];
    if (service.weights.empty()) {
        initialize(service, requestsPerSecond, logP99);
    }
    const double intensity = std::min(requestsPerSecond / service.referenceRate, maxIntensity);
    auto features = baseFeatures(intensity);
    for (const auto &load : loads) {
        int column = columnOf(service, load.batchClass);
        if (column < 0) {
            column = addClassColumn(service, load.batchClass);
        }
        if (column >= 0) {
            features.resize(service.weights.size(), 0.0);
            features[static_cast<std::size_t>(column)] += load.load * intensityFactor(intensity);
        }
    }
    features.resize(service.weights.size(), 0.0);
    double expected = 0;
    for (std::size_t n = 0; n < features.size(); ++n) {
        expected += features[n] * service.weights[n];
    }
    auto &workerState = service.workers[worker];
    workerState.trend
        = workerState.intensity > 0 ? 0.5 * workerState.trend + 0.5 * (intensity - workerState.intensity) : 0;
    workerState.intensity = intensity;
    const double residual = logP99 - expected;
    workerState.residual = m_settings.residualDecay * workerState.residual + (1 - m_settings.residualDecay) * residual;
    update(service, features, residual);
}

void InterferenceModel::update(ServiceModel &service, const std::vector<double> &features, double residual) const
{
    const auto n = features.size();
    const double weightVariance = bilinearForm(service.covariance, features, features);
    const double variance = m_settings.noiseFactor * service.noiseVariance + weightVariance;
    const double limit = clipDeviations * std::sqrt(variance);
    const double clipped = std::clamp(residual, -limit, limit);
    std::vector<double> gain(n, 0.0);
    for (std::size_t i = 0; i < n; ++i) {
        for (std::size_t j = 0; j < n; ++j) {
            gain[i] += service.covariance[i * n + j] * features[j];
        }
    }
    for (std::size_t i = 0; i < n; ++i) {
        service.weights[i] += gain[i] * clipped / variance;
    }
    for (std::size_t i = 0; i < n; ++i) {
        for (std::size_t j = 0; j < n; ++j) {
            service.covariance[i * n + j] -= gain[i] * gain[j] / variance;
        }
        const double maxVariance
            = i < baseColumns ? initialConstantVariance : m_settings.priorDeviation * m_settings.priorDeviation;
        auto &diagonal = service.covariance[i * n + i];
        diagonal = std::min(diagonal + m_settings.driftVariance, maxVariance);
    }
    service.noiseVariance
        = std::max((1 - noiseSmoothing) * service.noiseVariance + noiseSmoothing * clipped * clipped, minNoiseVariance);
    ++service.samples;
}

std::optional<Prediction>
InterferenceModel::predict(const ServiceId &id, const WorkerId &worker, const std::vector<ClassLoad> &loads) const
{
    const auto it = m_services.find(id);
    if (it == m_services.end()) {
        return std::nullopt;
    }
    const auto &service = it->second;
    const auto found = service.workers.find(worker);
    const WorkerState workerState = found == service.workers.end() ? WorkerState{1.0, 0, 0} : found->second;
    const double intensity = std::min(workerState.intensity + std::max(workerState.trend, 0.0), maxIntensity);
    auto features = baseFeatures(intensity);
    features.resize(service.weights.size(), 0.0);
    double mean = workerState.residual;
    double priorVariance = 0;
    for (const auto &load : loads) {
        const int column = columnOf(service, load.batchClass);
        const double scaledLoad = load.load * intensityFactor(intensity);
        if (column >= 0) {
            features[static_cast<std::size_t>(column)] += scaledLoad;
            // A class never speeds a service up, so a negative weight counts as zero.
            mean -= scaledLoad * std::min(service.weights[static_cast<std::size_t>(column)], 0.0);
            continue;
        }
        const auto prior = priorEffect(service, load.batchClass);
        mean += scaledLoad * prior.mean;
        priorVariance += scaledLoad * scaledLoad * prior.deviation * prior.deviation;
    }
    for (std::size_t n = 0; n < features.size(); ++n) {
        mean += features[n] * service.weights[n];
    }
    return Prediction{mean,
                      std::sqrt(std::max(bilinearForm(service.covariance, features, features), 0.0) + priorVariance)};
}

Prediction InterferenceModel::effect(const ServiceId &id, const WorkerId &worker, int batchClass) const
{
    const auto it = m_services.find(id);
    if (it == m_services.end()) {
        return {m_settings.priorEffect, m_settings.priorDeviation};
    }
    const auto &service = it->second;
    const auto found = service.workers.find(worker);
    const double intensity = found == service.workers.end() ? 1.0 : found->second.intensity;
    const double factor = intensityFactor(intensity);
    const int column = columnOf(service, batchClass);
    if (column < 0) {
        const auto prior = priorEffect(service, batchClass);
        return {factor * prior.mean, factor * prior.deviation};
    }
    const auto n = static_cast<std::size_t>(column);
    const double variance = service.covariance[n * service.weights.size() + n];
    return {factor * std::max(service.weights[n], 0.0), factor * std::sqrt(std::max(variance, 0.0))};
}

} // namespace Trefoilhoist::Detail
