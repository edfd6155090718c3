#include "trefoilhoist/placement/policy.h"

#include "trefoilhoist/placement/policies/bestfit.h"
#include "trefoilhoist/placement/policies/overuselimiter.h"
#include "trefoilhoist/placement/policies/policysettings.h"
#include "trefoilhoist/placement/policies/randomfit.h"

#include <array>
#include <utility>

namespace Trefoilhoist {

namespace {

constexpr std::array<std::pair<PolicyKind, std::string_view>, 3> policyKindNames{{
    {PolicyKind::RandomFit, "random-fit"},
    {PolicyKind::BestFit, "best-fit"},
    {PolicyKind::InterferenceAware, "interference-aware"},
}};

using Strategy = std::variant<Detail::RandomFit, Detail::BestFit, Detail::InterferenceAware>;

Strategy makeStrategy(PolicyKind kind, std::uint64_t seed, const PolicySettings &settings)
{
    switch (kind) {
    case PolicyKind::RandomFit:
        return Detail::RandomFit(seed);
    case PolicyKind::BestFit:
        return Detail::BestFit();
    case PolicyKind::InterferenceAware:
        break;
    }
    return Detail::InterferenceAware(settings.interference);
}

Detail::SizeEstimator::Settings sizeSettings(PolicyKind kind, const PolicySettings &settings)
{
    auto sizes = settings.sizes;
    sizes.enabled = sizes.enabled && kind != PolicyKind::RandomFit;
    return sizes;
}

} // namespace

std::string_view policyKindName(PolicyKind kind)
{
    for (const auto &[value, name] : policyKindNames) {
        if (value == kind) {
            return name;
        }
    }
    return "unknown";
}

std::optional<PolicyKind> policyKindFromName(std::string_view name)
{
    for (const auto &[value, text] : policyKindNames) {
        if (text == name) {
            return value;
        }
    }
    return std::nullopt;
}

struct PlacementPolicy::State {
    State(PolicyKind policyKind, const PolicyWeights &policyWeights, std::uint64_t seed, const PolicySettings &settings)
        : kind(policyKind)
        , weights(policyWeights)
        , limitsOveruse(settings.limitsOveruse && policyKind != PolicyKind::RandomFit)
        , strategy(makeStrategy(policyKind, seed, settings))
        , planner(settings.planner, seed)
        , sizes(sizeSettings(policyKind, settings))
        , health(settings.health)
    {
    }

    void applyEvents();
    void trackRunning(const PolicyInput &input);
    void limitStarts(TimePoint now);
    void plan(Detail::DecisionContext &context);

    PolicyKind kind;
    PolicyWeights weights;
    bool limitsOveruse;
    Strategy strategy;
    Detail::StartPlanner planner;
    Detail::SizeEstimator sizes;
    Detail::HealthTracker health;
    Detail::HostTable table;
    Detail::TeamShares shares;
    Detail::ActionTracker actionTracker;
    /// Events since the last decision, in order of arrival.
    std::vector<PolicyEvent> events;
    PolicyConfig emptyConfig;
};

namespace {

/// Maximum number of events kept between two decisions; further ones are dropped.
constexpr std::size_t maxEvents = 1'000'000;

template <typename... Visitors>
struct Overloaded : Visitors... {
    using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

const Task *findTask(const Job &job, const TaskId &id)
{
    for (const auto &task : job.tasks) {
        if (task.id == id) {
            return &task;
        }
    }
    return nullptr;
}

} // namespace

void PlacementPolicy::State::applyEvents()
{
    for (const auto &event : events) {
        std::visit(Overloaded{
                       [&](const ServiceSample &sample) {
                           if (auto *aware = std::get_if<Detail::InterferenceAware>(&strategy)) {
                               aware->observe(sample);
                           }
                       },
                       [&](const RunEnded &ended) {
                           sizes.observe(ended);
                           health.observe(ended);
                       },
                       [&](const UsageSample &sample) { sizes.observe(sample); },
                   },
                   event);
    }
    events.clear();
}

void PlacementPolicy::State::trackRunning(const PolicyInput &input)
{
    std::size_t count = 0;
    for (const auto &[id, view] : input.workers) {
        count += view.running.size();
        for (const auto &running : view.running) {
            if (!sizes.isTracked(running.task)) {
                const auto *job = table.job(running.job);
                const auto *task = job == nullptr ? nullptr : findTask(*job, running.task);
                if (task == nullptr) {
                    continue;
                }
                sizes.track(*job, *task);
            }
            sizes.setShare(running.task, running.throttle, running.reserved);
        }
    }
    sizes.removeStale(input, count);
}

void PlacementPolicy::State::limitStarts(TimePoint now)
{
    for (auto &host : table.hosts()) {
        host.startLimit = health.maxStarts(*host.view, now);
    }
}

void PlacementPolicy::State::plan(Detail::DecisionContext &context)
{
    const auto score = [&](const Detail::Candidate &candidate, const Detail::Host &host) {
        return std::visit([&](auto &implementation) { return implementation.score(context, candidate, host); },
                          strategy);
    };
    const auto onPlaced = [&](const Detail::Candidate &candidate, const Detail::Host &host) {
        sizes.track(*candidate.job, candidate.pending->task);
        if (auto *aware = std::get_if<Detail::InterferenceAware>(&strategy)) {
            aware->observeStart(context, candidate, host);
        }
    };
    planner.plan(context, score, onPlaced);
}

PlacementPolicy::PlacementPolicy(PolicyKind kind, PolicyWeights weights, std::uint64_t seed)
    : PlacementPolicy(kind, weights, seed, PolicySettings{})
{
}

PlacementPolicy::PlacementPolicy(PolicyKind kind,
                                 PolicyWeights weights,
                                 std::uint64_t seed,
                                 const PolicySettings &settings)
    : m_state(std::make_unique<State>(kind, weights, seed, settings))
{
}

PlacementPolicy::~PlacementPolicy() = default;
PlacementPolicy::PlacementPolicy(PlacementPolicy &&) noexcept = default;
PlacementPolicy &PlacementPolicy::operator=(PlacementPolicy &&) noexcept = default;

std::vector<PolicyAction> PlacementPolicy::decide(const PolicyInput &input)
{
    auto &state = *m_state;
    const auto &policyConfig = input.policyConfig == nullptr ? state.emptyConfig : *input.policyConfig;
    const auto &weights = input.policyConfig == nullptr ? state.weights : policyConfig.weights;
    state.table.load(input, policyConfig);
    state.applyEvents();
    state.trackRunning(input);
    state.health.observeRunning(input);
    state.actionTracker.beginDecision(input, state.kind == PolicyKind::InterferenceAware);
    state.limitStarts(input.now);
    state.shares.load(state.table);
    Detail::DecisionContext context{
        input.now, weights, state.table, state.shares, state.sizes, state.health, state.actionTracker};
    if (state.limitsOveruse) {
        limitOveruse(context);
    }
    if (auto *aware = std::get_if<Detail::InterferenceAware>(&state.strategy)) {
        aware->adjustShares(context);
    }
    std::vector<PolicyAction> actions;
    state.health.report(input, actions);
    state.plan(context);
    for (auto &action : state.actionTracker.finishDecision()) {
        actions.push_back(std::move(action));
    }
    return actions;
}

void PlacementPolicy::observe(const PolicyEvent &event)
{
    if (m_state->events.size() < maxEvents) {
        m_state->events.push_back(event);
    }
}

} // namespace Trefoilhoist
