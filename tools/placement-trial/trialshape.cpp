#include "trialshape.h"

namespace Trefoilhoist::Trial {

TrialShape formownia()
{
    TrialShape shape;
    shape.name = "formownia";
    shape.capacity = {64'000, 250'000, 2};
    shape.weights = {1.0, 3.0, 2.0};
    shape.services = {
        {ServiceId("lending"),
         12,
         milliseconds(40),
         60,
         1,
         {8'000, 24'000, 0},
         {{"catalogue", 1.5}, {"deposits", 0.2}, {"archive", 0.5}, {"images", 5.0}}},
        {ServiceId("returns"),
         20,
         milliseconds(60),
         20,
         3,
         {4'000, 12'000, 0},
         {{"catalogue", 0.3}, {"deposits", 1.0}, {"archive", 0.5}, {"images", 2.5}}},
    };
    shape.classes = {
        {"catalogue", {6'000, 20'000, 0}, seconds(90), 12, 0.4, false},
        {"deposits", {3'000, 9'000, 0}, seconds(60), 12, 0.3, false},
        {"archive", {2'000, 16'000, 0}, seconds(120), 8, 0.15, false},
        {"images", {8'000, 12'000, 1}, seconds(45), 8, 0.15, true},
    };
    return shape;
}

TrialShape steppeOrchid()
{
    TrialShape shape;
    shape.name = "steppe-orchid";
    shape.capacity = {16'000, 60'000, 1};
    shape.weights = {4.0, 1.0, 1.0};
    shape.services = {
        {ServiceId("orders"),
         8,
         milliseconds(25),
         150,
         1,
         {4'000, 12'000, 0},
         {{"vanilla-grade", 2.5}, {"lot-report", 0.3}, {"customs-archive", 0.8}, {"spectra", 7.0}}},
        {ServiceId("lots"),
         15,
         milliseconds(50),
         50,
         3,
         {1'500, 6'000, 0},
         {{"vanilla-grade", 0.4}, {"lot-report", 1.2}, {"customs-archive", 0.4}, {"spectra", 3.0}}},
    };
    shape.classes = {
        {"vanilla-grade", {2'000, 6'000, 0}, seconds(80), 10, 0.4, false},
        {"lot-report", {1'000, 3'000, 0}, seconds(50), 10, 0.3, false},
        {"customs-archive", {700, 5'000, 0}, seconds(120), 6, 0.15, false},
        {"spectra", {3'000, 5'000, 1}, seconds(40), 6, 0.15, true},
    };
    return shape;
}

} // namespace Trefoilhoist::Trial
