#pragma once

#include "trefoilhoist/world/clock.h"
#include "trefoilhoist/world/id.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// Share of a worker's processors that one batch class uses.
struct ClassLoad {
    int batchClass = 0;
    double load = 0;
};

/// Predicted logarithm of a latency, with its standard deviation.
struct Prediction {
    double mean = 0;
    double deviation = 0;

    [[nodiscard]] double upperBound(double deviations) const
    {
        return mean + deviations * deviation;
    }
};

/// Estimates how much each batch class slows each service, from lagging and noisy samples. Not thread-safe.
///
/// For each service this is a Bayesian linear regression of the logarithm of the p99 (in milliseconds) on the service's
/// own load and on the load of each class that runs beside it. A class that has not run beside the service yet gets a
/// prior from related estimates: those of the class beside other services and of other classes beside this service.
class InterferenceModel
{
public:
    /// Tests and trials may change these; programs use the defaults.
    struct Settings {
        double priorEffect = 0.3;
        double priorDeviation = 0.8;
        /// Variance added to each weight per sample, which lets the model follow effects that drift.
        double driftVariance = 2e-5;
        /// Factor on the noise variance, because samples of overlapping windows carry less information than independent
        /// ones.
        double noiseFactor = 2.0;
        /// Decay factor per sample of the average residual of a service on a worker.
        double residualDecay = 0.7;
    };

    InterferenceModel() = default;
    explicit InterferenceModel(const Settings &settings);

    /// Index of the class, assigned at its first use.
    [[nodiscard]] int classIndex(const std::string &batchClass);

    /// Updates the model from one sample; `loads` are those of the time that the sample covers.
    void observe(const ServiceId &service,
                 const WorkerId &worker,
                 double requestsPerSecond,
                 Duration p99,
                 const std::vector<ClassLoad> &loads);

    /// Predicts the logarithm of the service's p99 on the worker with these loads beside it, at its last known request
    /// rate and trend; nothing while no sample of the service is known.
    [[nodiscard]] std::optional<Prediction>
    predict(const ServiceId &service, const WorkerId &worker, const std::vector<ClassLoad> &loads) const;

    /// What one unit of the class's load adds to the logarithm of the service's p99 on the worker.
    [[nodiscard]] Prediction effect(const ServiceId &service, const WorkerId &worker, int batchClass) const;

    /// Removes the state of workers that no longer exist.
    template <typename Exists>
    void removeWorkers(Exists exists)
    {
        for (auto &[id, service] : m_services) {
            std::erase_if(service.workers, [&](const auto &entry) { return !exists(entry.first); });
        }
    }

private:
    /// State of one service on one worker.
    struct WorkerState {
        /// Request rate relative to the service's reference rate.
        double intensity = 0;
        /// Smoothed change of the intensity per sample.
        double trend = 0;
        /// Smoothed difference between the measured and the predicted logarithm of the p99.
        double residual = 0;
    };
    struct ServiceModel {
        /// Request rate of the first sample, in requests per second.
        double referenceRate = 0;
        double noiseVariance = 0;
        double samples = 0;
        std::vector<double> weights;
        /// Covariance matrix of the weights in row-major order.
        std::vector<double> covariance;
        /// Column of each class, by class index; negative if the class has none yet.
        std::vector<int> columns;
        std::unordered_map<WorkerId, WorkerState> workers;
    };

    [[nodiscard]] static std::vector<double> baseFeatures(double intensity);
    [[nodiscard]] static double intensityFactor(double intensity);
    [[nodiscard]] Prediction priorEffect(const ServiceModel &service, int batchClass) const;
    [[nodiscard]] static int columnOf(const ServiceModel &service, int batchClass);
    int addClassColumn(ServiceModel &service, int batchClass);
    void initialize(ServiceModel &service, double requestsPerSecond, double logP99) const;
    void update(ServiceModel &service, const std::vector<double> &features, double residual) const;

    Settings m_settings;
    std::unordered_map<std::string, int> m_classes;
    std::unordered_map<ServiceId, ServiceModel> m_services;
};

} // namespace Trefoilhoist::Detail
