/* Compares the heaps, the home servers, the eviction choice and the request
   order with naive versions that examine every candidate. */
#include "copies.h"
#include "driver.h"
#include "order.h"
#include "placement.h"
#include "servers.h"
#include <stdlib.h>

#define ROUNDS 1500

/* -- heap ----------------------------------------------------------------- */

#define NODES 64

static uint32_t
naive_least(const hp_node *nodes)
{
    uint32_t least = NODES;
    for (uint32_t at = 0; at < NODES; at++) {
        if (nodes[at].queued &&
            (least == NODES || nodes[at].key < nodes[least].key ||
             (nodes[at].key == nodes[least].key &&
              nodes[at].order < nodes[least].order))) {
            least = at;
        }
    }
    return least;
}

START_TEST(test_heap)
{
    g_autoptr(GRand) random = g_rand_new_with_seed((guint32)_i);
    hp_heap heap = {0};
    hp_node nodes[NODES] = {0};
    for (uint32_t round = 0; round < 5000; round++) {
        uint32_t at = (uint32_t)g_rand_int_range(random, 0, NODES);
        if (g_rand_boolean(random)) {
            hp_remove(&heap, &nodes[at]);
        }
        else if (!nodes[at].queued) {
            hp_push(&heap, &nodes[at],
                    (uint64_t)g_rand_int_range(random, 0, 20));
        }
        uint32_t least = naive_least(nodes);
        const hp_node *found = hp_query_least(&heap);
        ck_assert(least == NODES ? !found : found == &nodes[least]);
    }
}
END_TEST

/* -- homes ---------------------------------------------------------------- */

static uint64_t
home_weight(const dp_adapter *adapter, const dp_server *server)
{
    return rd_mix(adapter->desc.hash ^ rd_mix(server->desc.tag));
}

/* Returns the number of servers with a higher weight than this one. */
static uint32_t
naive_rank(const dp_policy *policy, const dp_adapter *adapter,
           const dp_server *server)
{
    uint32_t rank = 0;
    for (uint32_t at = 0; at < policy->servers.used_slots; at++) {
        const dp_server *other = sv_query_by_index(policy, at);
        rank += other && other->state != LWD_SERVER_LEAVING &&
                home_weight(adapter, other) > home_weight(adapter, server);
    }
    return rank;
}

START_TEST(test_homes)
{
    lwd_policy *base = lwd_create(&(lwd_desc){.seed = 1});
    dp_policy *policy = (dp_policy *)base;
    lwd_server servers[40];
    for (uint32_t at = 0; at < 40; at++) {
        servers[at] =
            lwd_make_server(base, 0, &(lwd_server_desc){.tag = at * 31 + 5});
    }
    lwd_destroy_server(base, 0, servers[3]);
    lwd_feed(base, 0,
             &(lwd_event){.type = LWD_EVENT_SERVER_STATE,
                          .server = servers[9],
                          .server_state = LWD_SERVER_LEAVING});
    for (uint32_t tag = 0; tag < 50; tag++) {
        lwd_adapter id =
            lwd_make_adapter(base, 0, &(lwd_adapter_desc){.tag = tag});
        dp_adapter *adapter = po_query_item(&policy->adapters, id.id);
        pl_refresh_homes(policy, adapter);
        ck_assert_uint_eq(adapter->home_count, DP_HOMES);
        for (uint32_t at = 0; at < DP_HOMES; at++) {
            const dp_server *home =
                sv_query_by_index(policy, adapter->homes[at]);
            ck_assert_uint_eq(naive_rank(policy, adapter, home), at);
        }
    }
    lwd_destroy(base);
}
END_TEST

/* -- eviction and order, during random runs ------------------------------- */

static bool
naive_evictable(const dp_copy *copy)
{
    return copy->state == DP_COPY_RESIDENT && copy->running == 0 &&
           copy->adapter->pending_count == 0;
}

/* Returns the least popularity among evictable copies; INFINITY: there are
   none. */
static double
naive_least_popularity(const dp_server *server)
{
    double least = INFINITY;
    const li_link *link = server->copies.first;
    for (; link; link = link->next) {
        const dp_copy *copy = LI_ITEM(link, const dp_copy, server_link);
        if (naive_evictable(copy)) {
            least = MIN(least, pl_query_popularity_per_copy(copy->adapter));
        }
    }
    return least;
}

static void
compare_victim(dp_policy *policy, dp_server *server)
{
    const dp_copy *victim = pl_choose_victim(policy, server);
    double least = naive_least_popularity(server);
    if (isinf(least) || policy->now_us < server->handover_until_us) {
        ck_assert_ptr_null(victim);
        return;
    }
    ck_assert_ptr_nonnull(victim);
    ck_assert(naive_evictable(victim));
    ck_assert_uint_eq(
        pl_query_heap_key(pl_query_popularity_per_copy(victim->adapter)),
        pl_query_heap_key(least));
}

/* Returns the least key among requests that the server may run now;
   UINT64_MAX: there are none. */
static uint64_t
naive_least_key(const dp_policy *policy, const dp_server *server)
{
    uint64_t least = UINT64_MAX;
    for (uint32_t at = 0; at < policy->requests.used_slots; at++) {
        const dp_request *request =
            (const dp_request *)(const void *)(policy->requests.items +
                                               (size_t)at *
                                                   sizeof(dp_request));
        if (!policy->requests.live[at] || request->phase != DP_PHASE_PENDING) {
            continue;
        }
        const dp_copy *copy = cp_query_find(policy, server, request->adapter);
        if (copy && cp_query_resident(copy) &&
            or_query_admits(policy, server, (dp_class)request->class_)) {
            least = MIN(least, request->pending.key);
        }
    }
    return least;
}

static void
compare_order(const dp_policy *policy, const dp_server *server)
{
    const dp_request *best = or_query_best(policy, server);
    uint64_t least = naive_least_key(policy, server);
    ck_assert_uint_eq(best ? best->pending.key : UINT64_MAX, least);
    /* A free slot is never left unused while a request could run there. */
    ck_assert(!sv_query_can_start_attempt(policy, server) || !best);
}

START_TEST(test_eviction_and_order)
{
    dr_driver *driver = dr_create((uint32_t)_i + 300, true);
    dp_policy *policy = (dp_policy *)driver->policy;
    uint32_t orders = 0;
    uint32_t victims = 0;
    for (uint32_t round = 0; round < ROUNDS; round++) {
        /* Few arrivals first, so that some adapters are idle; then many. */
        dr_step(driver, round < ROUNDS / 2 ? 0.1 : 0.9, 0.01);
        for (uint32_t at = 0; at < DR_SERVERS; at++) {
            dp_server *server = sv_query_by_index(policy, at);
            if (!server->desc.owned) {
                continue;
            }
            orders += naive_least_key(policy, server) != UINT64_MAX;
            victims += !isinf(naive_least_popularity(server));
            compare_order(policy, server);
            compare_victim(policy, server);
        }
    }
    ck_assert_uint_gt(orders, 20);
    ck_assert_uint_gt(victims, 20);
    dr_destroy(driver);
}
END_TEST

/* -- memory --------------------------------------------------------------- */

#define MEMORY_BOUND_BYTES 16000000U

/* The default pools are sized for 600 servers and 13,000 adapters. */
START_TEST(test_memory)
{
    lwd_policy *base = lwd_create(&(lwd_desc){0});
    size_t bytes = lwd_query_bytes(base);
    ck_assert_msg(bytes < MEMORY_BOUND_BYTES, "%zu bytes", bytes);
    if (g_getenv("SHOW")) {
        g_print("instance: %zu bytes\n", bytes);
    }
    lwd_destroy(base);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("differential");
    TCase *tests = tcase_create("differential");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_heap, 0, 10);
    tcase_add_test(tests, test_homes);
    tcase_add_loop_test(tests, test_eviction_and_order, 0, 20);
    tcase_add_test(tests, test_memory);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
