#pragma once

#include "trefoilhoist/world/clock.h"
#include "trefoilhoist/world/id.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Trefoilhoist::Detail {

/// Processors that one batch class uses on a worker, as a part of the worker's.
struct ClassLoad {
    int batchClass = 0;
    double load = 0;
};

/// A logarithm of a latency with its uncertainty.
struct Prediction {
    double mean = 0;
    double deviation = 0;

    [[nodiscard]] double upper(double deviations) const
    {
        return mean + deviations * deviation;
    }
};

/// Learns how much each batch class slows each service, from lagging and noisy samples. Not thread-safe.
///
/// Per service a Bayesian linear regression of the logarithm of the p99 (in milliseconds) on the service's own
/// load and on the load of each class beside it. A class that was never seen beside the service starts from
/// what is known of its neighbours in the table: the class beside other services, other classes beside this one.
class InterferenceModel
{
public:
    /// Settings; the defaults hold in programs.
    struct Settings {
        double priorEffect = 0.3;
        double priorDeviation = 0.8;
        /// Variance that an effect gains with each sample, so that it can drift.
        double driftVariance = 2e-5;
        /// Samples of overlapping windows tell less than independent ones.
        double noiseFactor = 2.0;
        /// Part of the last deviation from the model that is taken to last.
        double residualMemory = 0.7;
    };

    InterferenceModel() = default;
    explicit InterferenceModel(const Settings &settings);

    [[nodiscard]] int classIndex(const std::string &batchClass);

    /// Learns from one sample; `loads` are those of the time that it covers.
    void observe(const ServiceId &service,
                 const WorkerId &worker,
                 double requestsPerSecond,
                 Duration p99,
                 const std::vector<ClassLoad> &loads);

    /// The service's p99 on the worker with these loads beside it, at its last known request rate; nothing
    /// while no sample of the service is known.
    [[nodiscard]] std::optional<Prediction>
    predict(const ServiceId &service, const WorkerId &worker, const std::vector<ClassLoad> &loads) const;

    /// What one unit of the class's load adds to the logarithm of the service's p99 there.
    [[nodiscard]] Prediction effect(const ServiceId &service, const WorkerId &worker, int batchClass) const;

    /// Forgets workers that are gone.
    template <typename Exists>
    void removeWorkers(Exists exists)
    {
        for (auto &[id, service] : m_services) {
            std::erase_if(service.workers, [&](const auto &entry) { return !exists(entry.first); });
        }
    }

private:
    /// What is known of one service on one worker.
    struct WorkerState {
        double intensity = 0;
        double trend = 0;
        double residual = 0;
    };
    struct ServiceModel {
        double referenceRate = 0;
        double noiseVariance = 0;
        double samples = 0;
        std::vector<double> weights;
        /// Covariance of the weights, row by row.
        std::vector<double> covariance;
        /// Column of each class, by class index; negative while unknown.
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
