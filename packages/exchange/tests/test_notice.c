/* Tests of leaving and pause notices of servers, in virtual time: the records
   of one instance, and simulations of many instances that count the requests
   that arrive at a server after it reported that it leaves or asked for a
   pause. */
#include "fleet.h"
#include "orders.h"
#include "run.h"
#include <math.h>
#include <stdio.h>

#define MS UINT64_C(1000)
#define S (1000 * MS)
#define DRAIN (2 * S)
#define START (1000 * S)

static fl_server *
put_server_entry(fl_fleet *fleet, const char *id, uint64_t born_ms,
                 uint64_t version, dl_server_state state)
{
    dl_server entry = {.id = (char *)id,
                       .service = "app",
                       .address = "127.0.0.1:1",
                       .zone = "z1",
                       .slots = 8,
                       .state = state,
                       .born_ms = born_ms,
                       .version = version};
    fl_server *server;
    fl_put_server(fleet, &entry, &server);
    server->orders_possible = true;
    return server;
}

static fl_server *
put_ready_server(fl_fleet *fleet, const char *id)
{
    return put_server_entry(fleet, id, 1, 1, DL_SERVER_READY);
}

static uint32_t
report_notice(fl_fleet *fleet, const char *id, uint64_t born_ms,
              dl_notice notice, uint64_t now_us)
{
    fl_server *server;
    return fl_apply_notice(fleet,
                           &(fl_server_notice){.id = id,
                                               .born_ms = born_ms,
                                               .source = NT_ANSWER,
                                               .notice = notice,
                                               .now_us = now_us},
                           &server);
}

static uint32_t
report_leaving(fl_fleet *fleet, const char *id, uint64_t now_us)
{
    return report_notice(fleet, id, 1, (dl_notice){.leaving = true}, now_us);
}

static uint32_t
report_pause(fl_fleet *fleet, const char *id, uint64_t pause_ms,
             uint64_t now_us)
{
    return report_notice(fleet, id, 1, (dl_notice){.pause_ms = pause_ms},
                         now_us);
}

static fl_choice_status
choose(fl_fleet *fleet, fl_adapter *adapter, uint64_t now_us, fl_choice *out)
{
    fl_choose_server(fleet,
                     &(fl_request){.service = "app",
                                   .adapter = adapter,
                                   .zone = "z1",
                                   .now_us = now_us},
                     out);
    return out->status;
}

static void
on_leaving_contradicted(fl_server *server, const nt_notice *before,
                        void *user_data)
{
    ck_assert(nt_query_reported_leaving(before));
    ck_assert_int_eq(server->state, FL_READY);
    ++*(int *)user_data;
}

static int
review_leaving(fl_fleet *fleet, uint64_t list_us)
{
    int count = 0;
    fl_override_contradicted_leaving(fleet, list_us, on_leaving_contradicted,
                                     &count);
    return count;
}

/* -- leaving -------------------------------------------------------------- */

START_TEST(test_own_notice_overrides_list)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server *one = put_ready_server(fleet, "i-1");
    fl_server *two = put_ready_server(fleet, "i-2");
    ck_assert_uint_eq(report_leaving(fleet, "i-1", START), NT_STARTED_LEAVING);
    ck_assert_uint_eq(report_leaving(fleet, "i-1", START + MS), 0);
    fl_choice choice;
    for (uint64_t version = 2; version < 40; version++) {
        uint64_t now_us = START + version * S;
        fl_note_store_version(fleet, version - 1, now_us);
        put_server_entry(fleet, "i-1", 1, version, DL_SERVER_READY);
        ck_assert_int_eq(review_leaving(fleet, now_us), 0);
        ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_CHOSEN);
        ck_assert_ptr_eq(choice.server, two);
        ck_assert(choice.skipped_leaving);
    }
    ck_assert_int_eq(one->notice.leaving, NT_ANSWER);
    ck_assert_uint_eq(one->notice.leaving_us, START);
    fl_destroy(fleet);
}
END_TEST

START_TEST(test_list_ends_only_leaving_it_began)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server *one = put_server_entry(fleet, "i-1", 1, 2, DL_SERVER_LEAVING);
    ck_assert_int_eq(one->notice.leaving, NT_LIST);
    put_server_entry(fleet, "i-1", 1, 3, DL_SERVER_READY);
    ck_assert_int_eq(one->state, FL_READY);
    /* The server reported it as well: the list no longer ends it. */
    put_server_entry(fleet, "i-1", 1, 4, DL_SERVER_LEAVING);
    ck_assert_uint_eq(report_leaving(fleet, "i-1", START), 0);
    put_server_entry(fleet, "i-1", 1, 5, DL_SERVER_READY);
    ck_assert_int_eq(one->state, FL_LEAVING);
    fl_destroy(fleet);
}
END_TEST

START_TEST(test_new_process_resets_notice)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    put_ready_server(fleet, "i-1");
    report_leaving(fleet, "i-1", START);
    report_pause(fleet, "i-1", 5000, START);
    fl_server *again = put_server_entry(fleet, "i-1", 2, 2, DL_SERVER_READY);
    ck_assert_int_eq(again->state, FL_READY);
    ck_assert(nt_query_available(&again->notice, START + MS));
    /* Late answers of the previous process do not apply to this one. */
    ck_assert_uint_eq(report_leaving(fleet, "i-1", START + S), 0);
    ck_assert_int_eq(again->state, FL_READY);
    fl_destroy(fleet);
}
END_TEST

/* An entry that was removed and is listed again may be of the same process,
   which still leaves. */
START_TEST(test_leaving_survives_removal_from_list)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    put_ready_server(fleet, "i-1");
    report_leaving(fleet, "i-1", START);
    fl_remove_server(fleet, "i-1");
    ck_assert_int_eq(put_ready_server(fleet, "i-1")->state, FL_LEAVING);
    fl_remove_server(fleet, "i-1");
    ck_assert_int_eq(
        put_server_entry(fleet, "i-1", 2, 9, DL_SERVER_READY)->state,
        FL_READY);
    fl_destroy(fleet);
}
END_TEST

START_TEST(test_notice_before_list_entry)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server_notice report = {
        .id = "i-1", .born_ms = 7, .source = NT_PEER, .now_us = START};
    fl_server *server;
    ck_assert_uint_eq(fl_apply_notice(fleet, &report, &server), 0);
    ck_assert_ptr_null(server);
    ck_assert_int_eq(
        put_server_entry(fleet, "i-1", 6, 1, DL_SERVER_READY)->state,
        FL_READY);
    server = put_server_entry(fleet, "i-1", 7, 2, DL_SERVER_READY);
    ck_assert_int_eq(server->state, FL_LEAVING);
    ck_assert_int_eq(server->notice.leaving, NT_PEER);
    ck_assert_int_eq(
        put_server_entry(fleet, "i-1", 8, 3, DL_SERVER_READY)->state,
        FL_READY);
    fl_destroy(fleet);
}
END_TEST

/* No order, load or request for a report is sent to a server that leaves or is
   paused. */
START_TEST(test_no_orders_while_leaving_or_paused)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    od_limits limits = {.model = "base",
                        .model_mb = 100,
                        .adapter_mb = 1,
                        .server_mb = 1000,
                        .max_adapters = 8,
                        .may_load_model = true,
                        .may_load_adapter = true};
    fl_server *one = put_ready_server(fleet, "i-1");
    fl_server *two = put_ready_server(fleet, "i-2");
    od_plan *first = od_create(&(od_desc){.fleet = fleet, .server = one});
    od_plan *second = od_create(&(od_desc){.fleet = fleet, .server = two});
    report_leaving(fleet, "i-1", START);
    report_pause(fleet, "i-2", 1000, START);
    fl_adapter *adapter = fl_intern(fleet, "base/a");
    uint64_t open_us = two->notice.paused_until_us;
    ck_assert_uint_ge(open_us, START + S);
    for (uint64_t now_us = START; now_us < open_us; now_us += 10 * MS) {
        od_request_load(first, adapter, now_us);
        od_request_load(second, adapter, now_us);
        ck_assert_int_eq(od_next(first, now_us, &limits).kind, OD_NOTHING);
        ck_assert_int_eq(od_next(second, now_us, &limits).kind, OD_NOTHING);
    }
    /* After the pause, only one request is sent, which probes the server. */
    ck_assert_int_eq(od_next(second, open_us, &limits).kind, OD_REPORT);
    ck_assert(!nt_query_available(&two->notice, open_us + MS));
    ck_assert_uint_eq(
        report_notice(fleet, "i-2", 1, (dl_notice){0}, open_us + 2 * MS),
        NT_RESUMED);
    ck_assert(nt_query_available(&two->notice, open_us + 3 * MS));
    ck_assert_int_eq(od_next(first, START + 3600 * S, &limits).kind,
                     OD_NOTHING);
    od_destroy(first);
    od_destroy(second);
    fl_destroy(fleet);
}
END_TEST

/* All servers of a service report that they leave: requests are refused until
   a list that is a drain time newer has an entry that was written after the
   notice and says ready. From then on the notices of that process are ignored
   and only the list counts. */
START_TEST(test_list_contradicts_leaving_of_all)
{
    fl_fleet *fleet = fl_create(&(fl_desc){.drain_ms = 2000});
    const char *ids[] = {"i-1", "i-2", "i-3"};
    for (int i = 0; i < 3; i++) {
        put_ready_server(fleet, ids[i]);
        report_leaving(fleet, ids[i], START);
    }
    fl_choice choice;
    uint64_t now_us = START + 10 * DRAIN;
    ck_assert_int_eq(choose(fleet, NULL, START, &choice), FL_ALL_LEAVING);
    /* Leaving does not end by time alone, nor by an entry that may be older
       than the notice: the store was at version 20 when it was first asked
       after the notice. */
    ck_assert_int_eq(review_leaving(fleet, now_us), 0);
    fl_note_store_version(fleet, 10, START);
    fl_note_store_version(fleet, 20, START + MS);
    put_server_entry(fleet, "i-1", 1, 20, DL_SERVER_READY);
    ck_assert_int_eq(review_leaving(fleet, now_us), 0);
    /* Nor by a newer entry before the drain time has passed. */
    put_server_entry(fleet, "i-1", 1, 21, DL_SERVER_READY);
    ck_assert_int_eq(review_leaving(fleet, START + DRAIN - 1), 0);
    ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_ALL_LEAVING);
    /* Nor by an entry that is followed by a later notice. */
    report_leaving(fleet, "i-1", START + DRAIN);
    ck_assert_int_eq(review_leaving(fleet, START + DRAIN), 0);
    /* Nor by an entry that the list has replaced. */
    put_server_entry(fleet, "i-1", 1, 22, DL_SERVER_LEAVING);
    ck_assert_int_eq(review_leaving(fleet, now_us), 0);
    put_server_entry(fleet, "i-1", 1, 23, DL_SERVER_READY);
    ck_assert_int_eq(review_leaving(fleet, START + 2 * DRAIN), 1);
    ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_CHOSEN);
    ck_assert_str_eq(choice.server->id, "i-1");
    ck_assert_uint_eq(report_leaving(fleet, "i-1", now_us), 0);
    ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_CHOSEN);
    /* The entries of the other servers may follow later. */
    put_server_entry(fleet, "i-2", 1, 24, DL_SERVER_READY);
    ck_assert_int_eq(review_leaving(fleet, now_us), 1);
    /* The list still counts, and so do the notices of a new process. */
    put_server_entry(fleet, "i-2", 1, 25, DL_SERVER_LEAVING);
    put_server_entry(fleet, "i-1", 1, 26, DL_SERVER_LEAVING);
    ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_ALL_LEAVING);
    put_server_entry(fleet, "i-1", 2, 27, DL_SERVER_READY);
    ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_CHOSEN);
    ck_assert_uint_eq(
        report_notice(fleet, "i-1", 2, (dl_notice){.leaving = true}, now_us),
        NT_STARTED_LEAVING);
    fl_destroy(fleet);
}
END_TEST

/* -- pauses --------------------------------------------------------------- */

START_TEST(test_pause_is_capped)
{
    fl_fleet *fleet = fl_create(&(fl_desc){.max_pause_s = 3});
    fl_server *one = put_ready_server(fleet, "i-1");
    ck_assert_uint_eq(report_pause(fleet, "i-1", 86400000, START),
                      NT_STARTED_PAUSE | NT_PAUSE_CAPPED);
    ck_assert_uint_ge(one->notice.paused_until_us, START + 3 * S);
    ck_assert_uint_le(one->notice.paused_until_us, START + 3 * S + 500 * MS);
    fl_destroy(fleet);
}
END_TEST

/* A shorter pause that is reported later does not end a longer one. */
START_TEST(test_longest_pause_applies)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server *one = put_ready_server(fleet, "i-1");
    ck_assert_uint_eq(report_pause(fleet, "i-1", 4000, START),
                      NT_STARTED_PAUSE);
    ck_assert_uint_eq(report_pause(fleet, "i-1", 100, START + MS), 0);
    /* An answer to a request that was sent before the pause does not end
       it. */
    ck_assert_uint_eq(
        report_notice(fleet, "i-1", 1, (dl_notice){0}, START + S), 0);
    ck_assert(!nt_query_available(&one->notice, START + 3999 * MS));
    fl_destroy(fleet);
}
END_TEST

START_TEST(test_one_request_probes_after_pause)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server *one = put_ready_server(fleet, "i-1");
    fl_choice choice;
    report_pause(fleet, "i-1", 1000, START);
    uint64_t now_us = one->notice.paused_until_us;
    ck_assert_int_eq(choose(fleet, NULL, now_us - 1, &choice), FL_ALL_PAUSED);
    ck_assert_uint_eq(choice.resume_us, now_us);
    ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_CHOSEN);
    fl_begin_request(one, NULL, now_us);
    ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_ALL_PAUSED);
    /* The server rejects the probe as well. */
    ck_assert_uint_eq(report_pause(fleet, "i-1", 500, now_us + 5 * MS), 0);
    ck_assert_int_eq(choose(fleet, NULL, now_us + 400 * MS, &choice),
                     FL_ALL_PAUSED);
    now_us = one->notice.paused_until_us;
    ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_CHOSEN);
    /* A probe without an answer delays the next one for a limited time. */
    fl_begin_request(one, NULL, now_us);
    ck_assert_int_eq(choose(fleet, NULL, now_us + 900 * MS, &choice),
                     FL_ALL_PAUSED);
    ck_assert_int_eq(choose(fleet, NULL, now_us + S, &choice), FL_CHOSEN);
    fl_begin_request(one, NULL, now_us + S);
    fl_end_request(
        one, NULL,
        &(fl_result){.outcome = FL_UNREACHABLE, .now_us = now_us + S});
    ck_assert_int_eq(choose(fleet, NULL, now_us + S, &choice), FL_CHOSEN);
    fl_destroy(fleet);
}
END_TEST

/* If all servers are paused, the choice names the one that is available first,
   from which the Retry-After of the refusal is taken. */
START_TEST(test_all_paused_names_earliest_server)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    put_ready_server(fleet, "i-1");
    fl_server *two = put_ready_server(fleet, "i-2");
    put_ready_server(fleet, "i-3");
    fl_choice choice;
    report_pause(fleet, "i-1", 9000, START);
    report_pause(fleet, "i-2", 3000, START);
    ck_assert_int_eq(choose(fleet, NULL, START, &choice), FL_CHOSEN);
    ck_assert(choice.skipped_paused);
    report_leaving(fleet, "i-3", START);
    ck_assert_int_eq(choose(fleet, NULL, START, &choice), FL_ALL_PAUSED);
    ck_assert_ptr_eq(choice.server, two);
    ck_assert_uint_eq(choice.resume_us, two->notice.paused_until_us);
    fl_destroy(fleet);
}
END_TEST

/* The only copy of an adapter is at a paused server: a short pause is waited
   for, for a long one the adapter is loaded at another server. */
START_TEST(test_copies_at_paused_server)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server *one = put_ready_server(fleet, "i-1");
    fl_server *two = put_ready_server(fleet, "i-2");
    fl_adapter *base = fl_intern(fleet, "base");
    fl_adapter *adapter = fl_intern(fleet, "base/a");
    fl_put_copy(one, base, 1, false, START);
    fl_put_copy(two, base, 1, false, START);
    fl_put_copy(one, adapter, 0, false, START);
    fl_choice choice;
    report_pause(fleet, "i-1", 500, START);
    ck_assert_int_eq(choose(fleet, adapter, START, &choice), FL_ALL_PAUSED);
    ck_assert(!choice.needs_another_copy);
    report_pause(fleet, "i-1", 5000, START);
    ck_assert_int_eq(choose(fleet, adapter, START, &choice), FL_NO_COPY);
    ck_assert_ptr_eq(fl_choose_load_server(fleet, "app", adapter, START), two);
    /* No other server can load it. */
    report_leaving(fleet, "i-2", START);
    ck_assert_int_eq(choose(fleet, adapter, START, &choice), FL_ALL_PAUSED);
    ck_assert_ptr_null(fl_choose_load_server(fleet, "app", adapter, START));
    /* A load in progress there is waited for while the pause is short. */
    fl_copy *loading = fl_put_copy(one, adapter, 0, true, START);
    ck_assert(!fl_query_load_worth_waiting(fleet, loading, START));
    ck_assert(fl_query_load_worth_waiting(
        fleet, loading, one->notice.paused_until_us - 500 * MS));
    fl_destroy(fleet);
}
END_TEST

/* -- simulations ---------------------------------------------------------- */

#define SERVER_COUNT 12
#define STEP_US (10 * MS)
#define PEER_DELAY_US (20 * MS) /* of a report to another instance */
#define SERVICE_US (60 * MS)    /* time of an answer */
#define REJECT_US (5 * MS)      /* time of a rejection */
#define TIMEOUT_US (300 * MS)   /* of a request to a server that is gone */
/* Arrivals are not counted for this long after the answer that began the
   pause, as requests may have been in flight. */
#define PAUSE_GRACE_US (500 * MS)

typedef struct sim_server {
    char id[24];
    uint64_t leaving_from_us; /* its answers say so from then on; 0: never */
    uint64_t gone_us;         /* does not answer from then on; 0: never */
    uint64_t list_leaving_us; /* the list says so from then on; 0: never */
    uint64_t pause_from_us, pause_to_us; /* rejects all requests */
    bool ready;                          /* is in the list */
    uint32_t running;
} sim_server;

typedef struct sim_request {
    int instance;
    int server_index;
    fl_server *server;
    uint64_t created_us; /* received from the client */
    uint64_t end_us;     /* when the answer arrives */
    enum { SERVED, REJECTED, UNREACHABLE } result;
    bool leaving;      /* reported by the answer */
    uint64_t pause_ms; /* reported by the answer */
} sim_request;

typedef struct peer_report {
    int to;
    int server_index;
    uint64_t at_us;
} peer_report;

typedef struct simulation {
    bool apply_notices; /* false: as if answers had no such headers */
    int instances;
    fl_fleet **fleets;
    GArray *servers;      /* sim_server */
    GArray *in_flight;    /* sim_request */
    GArray *waiting;      /* sim_request, not sent */
    GArray *peer_reports; /* peer_report */
    GRand *random;
    uint64_t now_us;
    /* Arrays of instances x MAX_SIM_SERVERS: first answer that said leaving;
       first 503 with a pause, when no earlier pause was running, and the end
       of that pause; arrivals in it, not counted in PAUSE_GRACE_US. */
    uint64_t *leaving_seen_us;
    uint64_t *pause_seen_us;
    uint64_t *pause_end_us;
    uint32_t *arrivals_in_pause;
    uint32_t peer_report_count, after_drain_count, max_arrivals_in_pause;
    uint32_t served, late, refused, sends;
} simulation;

#define MAX_SIM_SERVERS 32
#define CELL(sim, list, i, h) ((sim)->list[(i)*MAX_SIM_SERVERS + (h)])

static void
list_server(simulation *sim, sim_server *server)
{
    server->ready = true;
    for (int i = 0; i < sim->instances; i++) {
        put_ready_server(sim->fleets[i], server->id);
    }
}

static int
add_server(simulation *sim)
{
    sim_server server = {0};
    g_snprintf(server.id, sizeof(server.id), "i-%u", sim->servers->len);
    g_array_append_val(sim->servers, server);
    list_server(
        sim, &g_array_index(sim->servers, sim_server, sim->servers->len - 1));
    return (int)sim->servers->len - 1;
}

static simulation *
create_simulation(int instances, bool apply_notices, uint32_t seed)
{
    simulation *sim = g_new0(simulation, 1);
    sim->apply_notices = apply_notices;
    sim->instances = instances;
    sim->now_us = START;
    sim->random = g_rand_new_with_seed(seed);
    sim->servers = g_array_new(FALSE, TRUE, sizeof(sim_server));
    sim->in_flight = g_array_new(FALSE, TRUE, sizeof(sim_request));
    sim->waiting = g_array_new(FALSE, TRUE, sizeof(sim_request));
    sim->peer_reports = g_array_new(FALSE, TRUE, sizeof(peer_report));
    sim->fleets = g_new0(fl_fleet *, instances);
    size_t cells = (size_t)instances * MAX_SIM_SERVERS;
    sim->leaving_seen_us = g_new0(uint64_t, cells);
    sim->pause_seen_us = g_new0(uint64_t, cells);
    sim->pause_end_us = g_new0(uint64_t, cells);
    sim->arrivals_in_pause = g_new0(uint32_t, cells);
    for (int i = 0; i < instances; i++) {
        sim->fleets[i] =
            fl_create(&(fl_desc){.seed = seed * 1000 + (uint32_t)i + 1});
    }
    for (int h = 0; h < SERVER_COUNT; h++) {
        add_server(sim);
    }
    return sim;
}

static void
free_simulation(simulation *sim)
{
    for (int i = 0; i < sim->instances; i++) {
        fl_destroy(sim->fleets[i]);
    }
    g_array_unref(sim->servers);
    g_array_unref(sim->in_flight);
    g_array_unref(sim->waiting);
    g_array_unref(sim->peer_reports);
    g_rand_free(sim->random);
    g_free(sim->fleets);
    g_free(sim->leaving_seen_us);
    g_free(sim->pause_seen_us);
    g_free(sim->pause_end_us);
    g_free(sim->arrivals_in_pause);
    g_free(sim);
}

/* Every instance reads the list: entries say ready until list_leaving_us, even
   if the server leaves already. */
static void
update_list(simulation *sim)
{
    for (guint h = 0; h < sim->servers->len; h++) {
        const sim_server *entry = &g_array_index(sim->servers, sim_server, h);
        bool leaves =
            entry->list_leaving_us && sim->now_us >= entry->list_leaving_us;
        for (int i = 0; entry->ready && i < sim->instances; i++) {
            put_server_entry(sim->fleets[i], entry->id, 1, sim->now_us / MS,
                             leaves ? DL_SERVER_LEAVING : DL_SERVER_READY);
            fl_note_store_version(sim->fleets[i], sim->now_us / MS,
                                  sim->now_us);
        }
    }
    for (int i = 0; i < sim->instances; i++) {
        review_leaving(sim->fleets[i], sim->now_us);
    }
}

/* Counts the arrival at the server and decides its answer. */
static void
send_request(simulation *sim, sim_request *request)
{
    sim_server *server =
        &g_array_index(sim->servers, sim_server, request->server_index);
    uint64_t leaving_seen_us =
        CELL(sim, leaving_seen_us, request->instance, request->server_index);
    sim->after_drain_count +=
        leaving_seen_us && request->created_us > leaving_seen_us + DRAIN;
    uint64_t pause_seen_us =
        CELL(sim, pause_seen_us, request->instance, request->server_index);
    if (pause_seen_us && sim->now_us >= pause_seen_us + PAUSE_GRACE_US &&
        sim->now_us < CELL(sim, pause_end_us, request->instance,
                           request->server_index)) {
        uint32_t count = ++CELL(sim, arrivals_in_pause, request->instance,
                                request->server_index);
        sim->max_arrivals_in_pause = MAX(sim->max_arrivals_in_pause, count);
    }
    request->leaving =
        server->leaving_from_us && sim->now_us >= server->leaving_from_us;
    request->pause_ms = 0;
    if (server->gone_us && sim->now_us >= server->gone_us) {
        request->result = UNREACHABLE;
        request->end_us = sim->now_us + TIMEOUT_US;
    }
    else if (sim->now_us >= server->pause_from_us &&
             sim->now_us < server->pause_to_us) {
        request->result = REJECTED;
        request->pause_ms = (server->pause_to_us - sim->now_us) / MS;
        request->end_us = sim->now_us + REJECT_US;
    }
    else {
        request->result = SERVED;
        server->running++;
        request->end_us = sim->now_us + SERVICE_US * (1 + server->running / 8);
    }
}

static void
apply_answer(simulation *sim, const sim_request *request)
{
    const sim_server *server =
        &g_array_index(sim->servers, sim_server, request->server_index);
    uint64_t *leaving_seen_us =
        &CELL(sim, leaving_seen_us, request->instance, request->server_index);
    if (request->leaving && *leaving_seen_us == 0) {
        *leaving_seen_us = sim->now_us;
    }
    /* A pause counts from the first answer that asks for it. */
    if (request->pause_ms &&
        sim->now_us >= CELL(sim, pause_end_us, request->instance,
                            request->server_index)) {
        CELL(sim, pause_seen_us, request->instance, request->server_index) =
            sim->now_us;
        CELL(sim, pause_end_us, request->instance, request->server_index) =
            sim->now_us + request->pause_ms * MS;
        CELL(sim, arrivals_in_pause, request->instance,
             request->server_index) = 0;
    }
    if (!sim->apply_notices) {
        return;
    }
    dl_notice notice = {.leaving = request->leaving,
                        .pause_ms = request->pause_ms};
    uint32_t changes = report_notice(sim->fleets[request->instance],
                                     server->id, 1, notice, sim->now_us);
    if (changes & NT_STARTED_LEAVING) {
        sim->peer_report_count++;
        for (int i = 0; i < sim->instances; i++) {
            peer_report report = {i, request->server_index,
                                  sim->now_us + PEER_DELAY_US};
            g_array_append_val(sim->peer_reports, report);
        }
    }
}

static void
end_request(simulation *sim, sim_request *request)
{
    sim_server *server =
        &g_array_index(sim->servers, sim_server, request->server_index);
    server->running -= request->result == SERVED;
    if (request->result != UNREACHABLE) {
        apply_answer(sim, request);
    }
    fl_end_request(request->server, NULL,
                   &(fl_result){.outcome = request->result == SERVED
                                               ? FL_SUCCEEDED
                                           : request->result == UNREACHABLE
                                               ? FL_UNREACHABLE
                                               : FL_REFUSED,
                                .latency_ms = 60,
                                .now_us = sim->now_us});
    if (request->result == SERVED) {
        sim->served++;
        sim->late += sim->now_us > request->created_us + 200 * MS;
        return;
    }
    request->server = NULL;
    g_array_append_val(sim->waiting, *request);
}

/* Sends a request, or refuses it if no server is available soon enough or it
   has waited for too long. Returns false if it has to wait on. */
static bool
try_send(simulation *sim, sim_request *request)
{
    fl_choice choice;
    fl_choice_status why =
        choose(sim->fleets[request->instance], NULL, sim->now_us, &choice);
    if (why == FL_CHOSEN) {
        request->server = choice.server;
        request->server_index = atoi(choice.server->id + 2);
        fl_begin_request(request->server, NULL, sim->now_us);
        sim->sends++;
        send_request(sim, request);
        g_array_append_val(sim->in_flight, *request);
        return true;
    }
    bool over = sim->now_us >= request->created_us + 800 * MS;
    bool known = why == FL_ALL_LEAVING ||
                 (why == FL_ALL_PAUSED &&
                  choice.resume_us > request->created_us + 800 * MS);
    sim->refused += over || known;
    return over || known;
}

static void
deliver_peer_reports(simulation *sim)
{
    for (guint i = sim->peer_reports->len; i > 0; i--) {
        peer_report report =
            g_array_index(sim->peer_reports, peer_report, i - 1);
        if (sim->now_us < report.at_us) {
            continue;
        }
        fl_server *server;
        fl_apply_notice(
            sim->fleets[report.to],
            &(fl_server_notice){.id = g_array_index(sim->servers, sim_server,
                                                    report.server_index)
                                          .id,
                                .born_ms = 1,
                                .source = NT_PEER,
                                .now_us = sim->now_us},
            &server);
        g_array_remove_index_fast(sim->peer_reports, i - 1);
    }
}

static void
run_step(simulation *sim, double per_s)
{
    sim->now_us += STEP_US;
    if (sim->now_us % (500 * MS) == 0) {
        update_list(sim);
    }
    deliver_peer_reports(sim);
    for (guint i = sim->in_flight->len; i > 0; i--) {
        sim_request request =
            g_array_index(sim->in_flight, sim_request, i - 1);
        if (sim->now_us >= request.end_us) {
            g_array_remove_index_fast(sim->in_flight, i - 1);
            end_request(sim, &request);
        }
    }
    double due = per_s * (double)STEP_US / (double)S;
    int draws = (int)ceil(due);
    for (int i = 0; i < draws; i++) {
        if (g_rand_double(sim->random) < due - i) {
            sim_request request = {
                .instance = g_rand_int_range(sim->random, 0, sim->instances),
                .created_us = sim->now_us};
            g_array_append_val(sim->waiting, request);
        }
    }
    for (guint i = sim->waiting->len; i > 0; i--) {
        sim_request request = g_array_index(sim->waiting, sim_request, i - 1);
        g_array_remove_index_fast(sim->waiting, i - 1);
        if (!try_send(sim, &request)) {
            g_array_append_val(sim->waiting, request);
        }
    }
}

static const int instance_counts[] = {12, 200};

/* A third of the servers leave at the same moment, while the list says ready
   to the end. */
START_TEST(test_no_requests_after_drain_time)
{
    simulation *sim = create_simulation(instance_counts[_i], true, 7);
    for (int h = 0; h < SERVER_COUNT / 3; h++) {
        g_array_index(sim->servers, sim_server, h).leaving_from_us = START + S;
    }
    while (sim->now_us < START + 12 * S) {
        run_step(sim, 600);
    }
    ck_assert_uint_gt(sim->served, 6000);
    ck_assert_uint_eq(sim->after_drain_count, 0);
    ck_assert_uint_eq(sim->refused, 0);
    /* A server is reported to other instances once by each instance that had
       its notice before another's report arrived, never for each answer. */
    ck_assert_uint_ge(sim->peer_report_count, SERVER_COUNT / 3);
    ck_assert_uint_le(sim->peer_report_count,
                      SERVER_COUNT / 3 * instance_counts[_i]);
    printf("%d instances: %u reports of %d leaving servers\n",
           instance_counts[_i], sim->peer_report_count, SERVER_COUNT / 3);
    free_simulation(sim);
}
END_TEST

/* The same without the headers breaks the bound, which shows that the test
   above can fail. */
START_TEST(test_leaving_ignored_breaks_bound)
{
    simulation *sim = create_simulation(12, false, 7);
    g_array_index(sim->servers, sim_server, 0).leaving_from_us = START + S;
    while (sim->now_us < START + 12 * S) {
        run_step(sim, 600);
    }
    ck_assert_uint_gt(sim->after_drain_count, 50);
    free_simulation(sim);
}
END_TEST

START_TEST(test_few_requests_during_pause)
{
    simulation *sim = create_simulation(instance_counts[_i], true, 8);
    for (int h = 0; h < SERVER_COUNT / 3; h++) {
        g_array_index(sim->servers, sim_server, h).pause_from_us = START + S;
        g_array_index(sim->servers, sim_server, h).pause_to_us = START + 5 * S;
    }
    while (sim->now_us < START + 12 * S) {
        run_step(sim, 800);
    }
    ck_assert_uint_gt(sim->served, 9000);
    ck_assert_uint_le(sim->max_arrivals_in_pause, 2);
    ck_assert_uint_eq(sim->refused, 0);
    /* All servers are in use again. */
    for (int i = 0; i < sim->instances; i++) {
        for (int h = 0; h < SERVER_COUNT / 3; h++) {
            const fl_server *server = fl_query_server(
                sim->fleets[i], g_array_index(sim->servers, sim_server, h).id);
            ck_assert(!nt_query_paused(&server->notice, sim->now_us));
        }
    }
    free_simulation(sim);
}
END_TEST

START_TEST(test_pause_ignored_breaks_bound)
{
    simulation *sim = create_simulation(12, false, 8);
    g_array_index(sim->servers, sim_server, 0).pause_from_us = START + S;
    g_array_index(sim->servers, sim_server, 0).pause_to_us = START + 5 * S;
    while (sim->now_us < START + 12 * S) {
        run_step(sim, 800);
    }
    ck_assert_uint_gt(sim->max_arrivals_in_pause, 2);
    free_simulation(sim);
}
END_TEST

/* Instances that were rejected at the same moment return at different times:
   pauses are prolonged by a random time of at most 500 ms. */
START_TEST(test_pause_ends_are_jittered)
{
    uint64_t first = UINT64_MAX;
    uint64_t last = 0;
    uint64_t sum = 0;
    for (uint32_t i = 0; i < 200; i++) {
        fl_fleet *fleet = fl_create(&(fl_desc){.seed = i + 1});
        fl_server *one = put_ready_server(fleet, "i-1");
        report_pause(fleet, "i-1", 2000, START);
        first = MIN(first, one->notice.paused_until_us);
        last = MAX(last, one->notice.paused_until_us);
        sum += one->notice.paused_until_us - START;
        fl_destroy(fleet);
    }
    ck_assert_uint_ge(first, START + 2 * S);
    ck_assert_uint_ge(last - first, 450 * MS);
    ck_assert_uint_le(last, START + 2500 * MS);
    ck_assert_uint_ge(sum / 200, 2200 * MS);
    ck_assert_uint_le(sum / 200, 2300 * MS);
}
END_TEST

/* -- results for callers, with the headers and without -------------------- */

typedef struct results {
    uint32_t served, late, refused, sends;
} results;

static results
finish_simulation(simulation *sim, const char *what)
{
    uint64_t end_us = sim->now_us + 2 * S;
    while (sim->now_us < end_us) {
        run_step(sim, 0);
    }
    results o = {sim->served, sim->late, sim->refused, sim->sends};
    printf("%s, %s: served %u, late %u, refused %u, sends %u, after leaving "
           "%u, most in a pause %u\n",
           what, sim->apply_notices ? "with notices" : "without notices",
           o.served, o.late, o.refused, o.sends, sim->after_drain_count,
           sim->max_arrivals_in_pause);
    fflush(stdout);
    free_simulation(sim);
    return o;
}

/* Each third of the servers in turn rejects all requests for 3 s. */
static results
simulate_pauses(bool apply_notices)
{
    simulation *sim = create_simulation(12, apply_notices, 3);
    while (sim->now_us < START + 30 * S) {
        if ((sim->now_us - START) % (6 * S) == 0) {
            int third = (int)((sim->now_us - START) / (6 * S) % 3);
            for (int h = 0; h < SERVER_COUNT; h++) {
                if (h % 3 == third) {
                    sim_server *at =
                        &g_array_index(sim->servers, sim_server, h);
                    at->pause_from_us = sim->now_us + S;
                    at->pause_to_us = sim->now_us + 4 * S;
                }
            }
        }
        run_step(sim, 800);
    }
    return finish_simulation(sim, "a third pauses");
}

/* Servers are replaced one after the other: a new one is added, the old one
   reports that it leaves, is gone 3 s later, and the list says that it leaves
   after 4 s. */
static results
simulate_replacement(bool apply_notices)
{
    simulation *sim = create_simulation(12, apply_notices, 4);
    int old = 0;
    while (sim->now_us < START + 30 * S) {
        if ((sim->now_us - START) % (2 * S) == 0 && old < SERVER_COUNT) {
            add_server(sim);
            sim_server *at = &g_array_index(sim->servers, sim_server, old++);
            at->leaving_from_us = sim->now_us + 500 * MS;
            at->gone_us = sim->now_us + 3500 * MS;
            at->list_leaving_us = sim->now_us + 4500 * MS;
        }
        run_step(sim, 800);
    }
    return finish_simulation(sim, "replaced in turn");
}

START_TEST(test_notices_improve_outcomes)
{
    results with_notices =
        _i ? simulate_replacement(true) : simulate_pauses(true);
    results without_notices =
        _i ? simulate_replacement(false) : simulate_pauses(false);
    ck_assert_uint_ge(with_notices.served, without_notices.served);
    ck_assert_uint_le(with_notices.refused, without_notices.refused);
    ck_assert_uint_le(with_notices.late, without_notices.late);
    ck_assert_uint_lt(with_notices.sends - with_notices.served,
                      without_notices.sends - without_notices.served);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("notice");
    tcase_set_timeout(tcase, 120);
    tcase_add_test(tcase, test_own_notice_overrides_list);
    tcase_add_test(tcase, test_list_ends_only_leaving_it_began);
    tcase_add_test(tcase, test_new_process_resets_notice);
    tcase_add_test(tcase, test_leaving_survives_removal_from_list);
    tcase_add_test(tcase, test_notice_before_list_entry);
    tcase_add_test(tcase, test_no_orders_while_leaving_or_paused);
    tcase_add_test(tcase, test_list_contradicts_leaving_of_all);
    tcase_add_test(tcase, test_pause_is_capped);
    tcase_add_test(tcase, test_longest_pause_applies);
    tcase_add_test(tcase, test_one_request_probes_after_pause);
    tcase_add_test(tcase, test_all_paused_names_earliest_server);
    tcase_add_test(tcase, test_copies_at_paused_server);
    tcase_add_loop_test(tcase, test_no_requests_after_drain_time, 0, 2);
    tcase_add_test(tcase, test_leaving_ignored_breaks_bound);
    tcase_add_loop_test(tcase, test_few_requests_during_pause, 0, 2);
    tcase_add_test(tcase, test_pause_ignored_breaks_bound);
    tcase_add_test(tcase, test_pause_ends_are_jittered);
    tcase_add_loop_test(tcase, test_notices_improve_outcomes, 0, 2);
    return run_case("notice", tcase);
}
