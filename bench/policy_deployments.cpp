#include "bench/policy_model.h"

namespace snipestream::bench
{

auto cymru() -> Deployment
{
    Deployment deployment;
    deployment.name = "Cymru";
    deployment.services = {{"catalogue", 6, 150, milliseconds(300)},
                           {"bookings", 4, 230, milliseconds(150)},
                           {"measures", 4, 230, milliseconds(400)},
                           {"diary", 4, 20, milliseconds(100)}};
    deployment.routes = {{"stock lookup", {0}, 0.62, 1, Priority::Normal, true, seconds(1)},
                         {"diary lookup", {3}, 0.12, 1, Priority::Normal, true, seconds(1)},
                         {"booking", {1, 3}, 0.14, 5, Priority::High, false, seconds(2)},
                         {"deposit", {1, 3}, 0.07, 10, Priority::Critical, false, seconds(2)},
                         {"upload", {2, 0}, 0.05, 8, Priority::High, false, seconds(4)}};
    deployment.teams = {0.30, 0.25, 0.12, 0.10, 0.09, 0.07, 0.05, 0.02};
    deployment.rate = 2000;
    deployment.hopLatency = microseconds(1500);
    deployment.slowedService = 3;
    return deployment;
}

auto nairobi() -> Deployment
{
    Deployment deployment;
    deployment.name = "Nairobi";
    deployment.services = {{"rules", 5, 100, milliseconds(300)},
                           {"certify", 3, 170, milliseconds(200)},
                           {"artwork", 3, 170, milliseconds(300)},
                           {"batches", 3, 40, milliseconds(145)}};
    deployment.routes = {{"rule lookup", {0}, 0.55, 1, Priority::Normal, true, seconds(1)},
                         {"batch lookup", {3}, 0.20, 1, Priority::Normal, true, seconds(1)},
                         {"certificate", {1, 0, 3}, 0.15, 10, Priority::Critical, false, seconds(3)},
                         {"artwork upload", {2, 3}, 0.10, 6, Priority::High, false, seconds(4)}};
    deployment.teams = {0.28, 0.26, 0.14, 0.10, 0.08, 0.07, 0.05, 0.02};
    deployment.rate = 1500;
    deployment.hopLatency = milliseconds(1);
    deployment.slowedService = 3;
    return deployment;
}

} // namespace snipestream::bench
