/* load_simulation.h: shared by the simulations of load: a skewed demand for
   adapters, and servers that hold the base model only, each with the plan of
   its orders. */
#ifndef LACEWING_LOAD_SIMULATION_H
#define LACEWING_LOAD_SIMULATION_H

#include "fleet.h"
#include "orders.h"
#include <math.h>

#define ADAPTERS 3000
#define ZIPF_EXPONENT 1.2 /* of the demand for adapters */

typedef struct demand {
    GRand *random;
    double cumulative_weights[ADAPTERS];
} demand;

static void
setup_demand(demand *d, uint32_t seed)
{
    d->random = g_rand_new_with_seed(seed);
    double sum = 0;
    for (int i = 0; i < ADAPTERS; i++) {
        sum += pow(i + 1, -ZIPF_EXPONENT);
        d->cumulative_weights[i] = sum;
    }
}

/* Draws an adapter; returns its rank by demand, 0 the highest. */
static int
draw_adapter_rank(const demand *d)
{
    double target =
        g_rand_double(d->random) * d->cumulative_weights[ADAPTERS - 1];
    int low = 0;
    int high = ADAPTERS - 1;
    while (low < high) {
        int middle = (low + high) / 2;
        if (d->cumulative_weights[middle] < target) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* Adds server number i of a simulation, and creates the plan of its orders. */
static fl_server *
add_engine(fl_fleet *fleet, uint32_t seed, int i, const od_limits *constraints,
           uint64_t now_us, od_plan **plan)
{
    g_autofree char *id = g_strdup_printf("i-%u-%d", seed, i);
    dl_server entry = {.id = id,
                       .service = "llm",
                       .address = "127.0.0.1:1",
                       .zone = "z1",
                       .slots = 64,
                       .state = DL_SERVER_READY,
                       .born_ms = 1};
    fl_server *server;
    fl_put_server(fleet, &entry, &server);
    server->orders_possible = true;
    *plan = od_create(&(od_desc){.fleet = fleet, .server = server});
    od_next(*plan, now_us, constraints);
    dl_server report = {.models = dl_make_models()};
    dl_model model = {.name = g_strdup("base"),
                      .version = 1,
                      .adapters =
                          g_array_new(FALSE, TRUE, sizeof(dl_adapter))};
    g_array_append_val(report.models, model);
    od_feed_report(*plan, now_us, &report);
    dl_clear_server(&report);
    return server;
}

#endif
