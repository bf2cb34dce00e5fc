/* Tests of broadcasts through relays: which instances receive a message, how
   many datagrams that takes, and which numbers are duplicates. */
#include "relay.h"
#include "run.h"
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define ZONES 6
#define ZONE_INSTANCES 33
#define INSTANCES (ZONES * ZONE_INSTANCES)

typedef struct fleet {
    rl_plan *plans[INSTANCES];
    uint32_t direct_max;
    bool dead[INSTANCES]; /* crashed, which the others do not know yet */
    uint32_t received[INSTANCES]; /* copies of the current message */
    uint32_t datagrams;
    uint32_t zone_crossings;
    uint32_t forwarded[INSTANCES]; /* messages, over all broadcasts */
} fleet;

static void
fill_name(int i, char *out, size_t size)
{
    g_snprintf(out, size, "front-%d-%d", i / ZONE_INSTANCES,
               i % ZONE_INSTANCES);
}

static int
index_of(const char *instance)
{
    int zone = 0;
    int number = 0;
    ck_assert_int_eq(sscanf(instance, "front-%d-%d", &zone, &number), 2);
    return zone * ZONE_INSTANCES + number;
}

/* Each zone has three instances with fast links. */
static bool
is_fast(int i)
{
    return i % ZONE_INSTANCES % 11 == 4;
}

static fleet *
make_fleet(uint32_t direct_max)
{
    fleet *f = g_new0(fleet, 1);
    for (int i = 0; i < INSTANCES; i++) {
        char name[32];
        char zone[8];
        fill_name(i, name, sizeof(name));
        g_snprintf(zone, sizeof(zone), "z%d", i / ZONE_INSTANCES);
        f->plans[i] = rl_create(&(rl_desc){
            .instance = name, .zone = zone, .direct_max = direct_max});
        for (int k = 0; k < INSTANCES; k++) {
            /* Each plan is filled in another order. */
            int other = (k * 7 + i) % INSTANCES;
            fill_name(other, name, sizeof(name));
            g_snprintf(zone, sizeof(zone), "z%d", other / ZONE_INSTANCES);
            rl_put(f->plans[i],
                   &(rl_peer){.instance = name,
                              .zone = zone,
                              .address = "a",
                              .link_mbps = is_fast(other) ? 200 : 20});
        }
    }
    return f;
}

static void
free_fleet(fleet *f)
{
    for (int i = 0; i < INSTANCES; i++) {
        rl_destroy(f->plans[i]);
    }
    g_free(f);
}

typedef struct sending {
    fleet *f;
    int from;
    bool forwarded; /* by a relay to its zone */
} sending;

static void
count_forwarded(fleet *f, int relay)
{
    ck_assert(is_fast(relay));
    f->forwarded[relay]++;
}

static void
deliver(const char *instance, const char *address, void *user_data)
{
    (void)address;
    const sending *s = user_data;
    fleet *f = s->f;
    int to = index_of(instance);
    f->datagrams++;
    f->zone_crossings += to / ZONE_INSTANCES != s->from / ZONE_INSTANCES;
    if (f->dead[to]) {
        return;
    }
    f->received[to]++;
    if (!s->forwarded && rl_query_is_relay(f->plans[to])) {
        count_forwarded(f, to);
        sending next = {f, to, true};
        rl_each_zone_peer(f->plans[to], deliver, &next);
    }
}

static void
broadcast(fleet *f, int from, bool redundant)
{
    memset(f->received, 0, sizeof(f->received));
    f->datagrams = 0;
    f->zone_crossings = 0;
    sending first = {f, from, false};
    rl_each_target(f->plans[from], 1, redundant, deliver, &first);
    if (rl_query_is_relay(f->plans[from])) {
        sending own = {f, from, true};
        rl_each_zone_peer(f->plans[from], deliver, &own);
    }
}

START_TEST(test_broadcast_reaches_all)
{
    fleet *f = make_fleet(24);
    for (int from = 0; from < INSTANCES; from += 5) {
        broadcast(f, from, true);
        for (int i = 0; i < INSTANCES; i++) {
            ck_assert(i == from || f->received[i] >= 1);
        }
        /* At most two relays in each other zone, whoever sends. */
        ck_assert_uint_le(f->zone_crossings, RL_RELAYS_PER_ZONE * (ZONES - 1));
    }
    free_fleet(f);
}
END_TEST

START_TEST(test_dead_relay_cuts_off_nobody)
{
    fleet *f = make_fleet(24);
    for (int i = 0; i < INSTANCES; i++) {
        if (!rl_query_is_relay(f->plans[i])) {
            continue;
        }
        f->dead[i] = true;
        for (int from = 1; from < INSTANCES; from += 17) {
            broadcast(f, from, true);
            for (int k = 0; k < INSTANCES; k++) {
                ck_assert(k == from || f->dead[k] || f->received[k] >= 1);
            }
        }
        f->dead[i] = false;
    }
    free_fleet(f);
}
END_TEST

/* Without redundancy a message takes half of the crossings, and the relays of
   a zone share the forwarding evenly. */
START_TEST(test_relays_share_the_load)
{
    fleet *f = make_fleet(24);
    for (int from = 0; from < INSTANCES; from++) {
        broadcast(f, from, false);
        for (int i = 0; i < INSTANCES; i++) {
            ck_assert(i == from || f->received[i] >= 1);
        }
        ck_assert_uint_le(f->zone_crossings, ZONES - 1);
    }
    for (int i = 0; i < INSTANCES; i++) {
        /* A third each on average; up to twice as much is accepted. */
        ck_assert_uint_le(f->forwarded[i], INSTANCES * 2 / 3);
    }
    free_fleet(f);
}
END_TEST

/* Each task has an order of all instances without gaps or ties; the first
   instance is not the same for both tasks. */
START_TEST(test_positions_are_unique_and_differ_by_task)
{
    fleet *f = make_fleet(24);
    int first_instance[2] = {-1, -1};
    for (int task = 0; task < 2; task++) {
        GHashTable *positions = g_hash_table_new(NULL, NULL);
        for (int i = 0; i < INSTANCES; i++) {
            uint32_t position =
                rl_query_position(f->plans[i], task ? "one" : "another");
            ck_assert_uint_ge(position, 1);
            ck_assert_uint_le(position, INSTANCES);
            g_hash_table_add(positions, GUINT_TO_POINTER(position));
            first_instance[task] = position == 1 ? i : first_instance[task];
        }
        ck_assert_uint_eq(g_hash_table_size(positions), INSTANCES);
        g_hash_table_unref(positions);
    }
    ck_assert_int_ne(first_instance[0], first_instance[1]);
    free_fleet(f);
}
END_TEST

START_TEST(test_few_instances_send_directly)
{
    fleet *f = make_fleet(INSTANCES);
    broadcast(f, 3, true);
    ck_assert_uint_eq(f->datagrams, INSTANCES - 1);
    ck_assert(!rl_query_is_relay(f->plans[3]));
    free_fleet(f);
}
END_TEST

START_TEST(test_duplicates_are_rejected)
{
    rl_seen seen = {0};
    ck_assert(rl_accept(&seen, 5, 10));
    ck_assert(!rl_accept(&seen, 5, 10));
    ck_assert(rl_accept(&seen, 5, 12));
    ck_assert(rl_accept(&seen, 5, 11)); /* arrives out of order */
    ck_assert(!rl_accept(&seen, 5, 11));
    ck_assert(rl_accept(&seen, 5, 75));
    ck_assert(!rl_accept(&seen, 5, 12));
    ck_assert(!rl_accept(&seen, 5, 11));
    ck_assert(rl_accept(&seen, 4, 1)); /* restarted, its clock set back */
    ck_assert(!rl_accept(&seen, 4, 1));
    ck_assert(rl_accept(&seen, 6, 1));
    ck_assert(!rl_accept(&seen, 6, 1));
    /* 60 numbers within the window, sent twice and out of order: each is
       accepted once. */
    uint32_t accepted = 0;
    for (uint64_t k = 0; k < 120; k++) {
        accepted += rl_accept(&seen, 6, 2 + (k * 37) % 60);
    }
    ck_assert_uint_eq(accepted, 60);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("relay");
    tcase_set_timeout(tcase, 30);
    tcase_add_test(tcase, test_broadcast_reaches_all);
    tcase_add_test(tcase, test_dead_relay_cuts_off_nobody);
    tcase_add_test(tcase, test_relays_share_the_load);
    tcase_add_test(tcase, test_positions_are_unique_and_differ_by_task);
    tcase_add_test(tcase, test_few_instances_send_directly);
    tcase_add_test(tcase, test_duplicates_are_rejected);
    return run_case("relay", tcase);
}
