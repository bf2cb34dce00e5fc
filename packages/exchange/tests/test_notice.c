/* What servers say of themselves, in virtual time: the beliefs of one
   instance, and plays of many instances that count what arrives at a server
   after it said that it leaves, or asked for a pause. */
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
put_as(fl_fleet *fleet, const char *id, uint64_t born_ms, uint64_t version,
       dl_server_state state)
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
put(fl_fleet *fleet, const char *id)
{
    return put_as(fleet, id, 1, 1, DL_SERVER_READY);
}

static uint32_t
say(fl_fleet *fleet, const char *id, uint64_t born_ms, dl_notice said,
    uint64_t now_us)
{
    fl_server *server;
    return fl_apply_notice(fleet,
                           &(fl_server_notice){.id = id,
                                               .born_ms = born_ms,
                                               .source = NT_ANSWER,
                                               .notice = said,
                                               .now_us = now_us},
                           &server);
}

static uint32_t
say_leaving(fl_fleet *fleet, const char *id, uint64_t now_us)
{
    return say(fleet, id, 1, (dl_notice){.leaving = true}, now_us);
}

static uint32_t
say_pause(fl_fleet *fleet, const char *id, uint64_t pause_ms, uint64_t now_us)
{
    return say(fleet, id, 1, (dl_notice){.pause_ms = pause_ms}, now_us);
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
on_stays(fl_server *server, const nt_notice *before, void *user_data)
{
    ck_assert(nt_query_said_leaving(before));
    ck_assert_int_eq(server->state, FL_READY);
    ++*(int *)user_data;
}

static int
settle(fl_fleet *fleet, uint64_t list_us)
{
    int count = 0;
    fl_override_contradicted_leaving(fleet, list_us, on_stays, &count);
    return count;
}

/* -- leaving -------------------------------------------------------------- */

START_TEST(test_word_goes_before_list)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server *one = put(fleet, "i-1");
    fl_server *two = put(fleet, "i-2");
    ck_assert_uint_eq(say_leaving(fleet, "i-1", START), NT_LEAVES);
    ck_assert_uint_eq(say_leaving(fleet, "i-1", START + MS), 0);
    fl_choice choice;
    for (uint64_t version = 2; version < 40; version++) {
        uint64_t now_us = START + version * S;
        fl_note_store_version(fleet, version - 1, now_us);
        put_as(fleet, "i-1", 1, version, DL_SERVER_READY);
        ck_assert_int_eq(settle(fleet, now_us), 0);
        ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_CHOSEN);
        ck_assert_ptr_eq(choice.server, two);
        ck_assert(choice.skipped_leaving);
    }
    ck_assert_int_eq(one->notice.leaving, NT_ANSWER);
    ck_assert_uint_eq(one->notice.leaving_us, START);
    fl_destroy(fleet);
}
END_TEST

START_TEST(test_list_ends_what_it_began)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server *one = put_as(fleet, "i-1", 1, 2, DL_SERVER_LEAVING);
    ck_assert_int_eq(one->notice.leaving, NT_LIST);
    put_as(fleet, "i-1", 1, 3, DL_SERVER_READY);
    ck_assert_int_eq(one->state, FL_READY);
    /* The server said so, too: the list does not end it any more. */
    put_as(fleet, "i-1", 1, 4, DL_SERVER_LEAVING);
    ck_assert_uint_eq(say_leaving(fleet, "i-1", START), 0);
    put_as(fleet, "i-1", 1, 5, DL_SERVER_READY);
    ck_assert_int_eq(one->state, FL_LEAVING);
    fl_destroy(fleet);
}
END_TEST

START_TEST(test_another_process_is_new)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    put(fleet, "i-1");
    say_leaving(fleet, "i-1", START);
    say_pause(fleet, "i-1", 5000, START);
    fl_server *again = put_as(fleet, "i-1", 2, 2, DL_SERVER_READY);
    ck_assert_int_eq(again->state, FL_READY);
    ck_assert(nt_query_open(&again->notice, START + MS));
    /* What the process before still answers says nothing of this one. */
    ck_assert_uint_eq(say_leaving(fleet, "i-1", START + S), 0);
    ck_assert_int_eq(again->state, FL_READY);
    fl_destroy(fleet);
}
END_TEST

/* A lapsed entry that comes back is of the same process. */
START_TEST(test_word_outlives_lapse)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    put(fleet, "i-1");
    say_leaving(fleet, "i-1", START);
    fl_remove_server(fleet, "i-1");
    ck_assert_int_eq(put(fleet, "i-1")->state, FL_LEAVING);
    fl_remove_server(fleet, "i-1");
    ck_assert_int_eq(put_as(fleet, "i-1", 2, 9, DL_SERVER_READY)->state,
                     FL_READY);
    fl_destroy(fleet);
}
END_TEST

START_TEST(test_word_before_entry)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server_notice heard = {
        .id = "i-1", .born_ms = 7, .source = NT_PEER, .now_us = START};
    fl_server *server;
    ck_assert_uint_eq(fl_apply_notice(fleet, &heard, &server), 0);
    ck_assert_ptr_null(server);
    ck_assert_int_eq(put_as(fleet, "i-1", 6, 1, DL_SERVER_READY)->state,
                     FL_READY);
    server = put_as(fleet, "i-1", 7, 2, DL_SERVER_READY);
    ck_assert_int_eq(server->state, FL_LEAVING);
    ck_assert_int_eq(server->notice.leaving, NT_PEER);
    ck_assert_int_eq(put_as(fleet, "i-1", 8, 3, DL_SERVER_READY)->state,
                     FL_READY);
    fl_destroy(fleet);
}
END_TEST

/* No order, no load, no report goes to a server that leaves or is paused. */
START_TEST(test_no_orders)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    od_limits room = {.model = "base",
                      .model_mb = 100,
                      .adapter_mb = 1,
                      .server_mb = 1000,
                      .max_adapters = 8,
                      .may_load_model = true,
                      .may_load_adapter = true};
    fl_server *one = put(fleet, "i-1");
    fl_server *two = put(fleet, "i-2");
    od_plan *first = od_create(&(od_desc){.fleet = fleet, .server = one});
    od_plan *second = od_create(&(od_desc){.fleet = fleet, .server = two});
    say_leaving(fleet, "i-1", START);
    say_pause(fleet, "i-2", 1000, START);
    fl_adapter *adapter = fl_intern(fleet, "base/a");
    uint64_t open_us = two->notice.reopens_us;
    ck_assert_uint_ge(open_us, START + S);
    for (uint64_t now_us = START; now_us < open_us; now_us += 10 * MS) {
        od_request_load(first, adapter, now_us);
        od_request_load(second, adapter, now_us);
        ck_assert_int_eq(od_next(first, now_us, &room).kind, OD_NOTHING);
        ck_assert_int_eq(od_next(second, now_us, &room).kind, OD_NOTHING);
    }
    /* The first thing that goes there tries it; nothing else does. */
    ck_assert_int_eq(od_next(second, open_us, &room).kind, OD_REPORT);
    ck_assert(!nt_query_open(&two->notice, open_us + MS));
    ck_assert_uint_eq(say(fleet, "i-2", 1, (dl_notice){0}, open_us + 2 * MS),
                      NT_RESUMES);
    ck_assert(nt_query_open(&two->notice, open_us + 3 * MS));
    ck_assert_int_eq(od_next(first, START + 3600 * S, &room).kind, OD_NOTHING);
    od_destroy(first);
    od_destroy(second);
    fl_destroy(fleet);
}
END_TEST

/* Leaving said by all servers of a service: it is refused until a list of a
   drain time later has an entry that was written after the word and says
   ready; then the word of that process counts no more, the list does. */
START_TEST(test_false_word_of_all)
{
    fl_fleet *fleet = fl_create(&(fl_desc){.drain_ms = 2000});
    const char *ids[] = {"i-1", "i-2", "i-3"};
    for (int i = 0; i < 3; i++) {
        put(fleet, ids[i]);
        say_leaving(fleet, ids[i], START);
    }
    fl_choice choice;
    uint64_t now_us = START + 10 * DRAIN;
    ck_assert_int_eq(choose(fleet, NULL, START, &choice), FL_ALL_LEAVING);
    /* By time alone nothing ends, nor by an entry that may be older than the
       word: the store was at 20 when it was asked after it. */
    ck_assert_int_eq(settle(fleet, now_us), 0);
    fl_note_store_version(fleet, 10, START);
    fl_note_store_version(fleet, 20, START + MS);
    put_as(fleet, "i-1", 1, 20, DL_SERVER_READY);
    ck_assert_int_eq(settle(fleet, now_us), 0);
    /* Nor by a newer one before the drain time has passed. */
    put_as(fleet, "i-1", 1, 21, DL_SERVER_READY);
    ck_assert_int_eq(settle(fleet, START + DRAIN - 1), 0);
    ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_ALL_LEAVING);
    /* Nor by one that a later word follows. */
    say_leaving(fleet, "i-1", START + DRAIN);
    ck_assert_int_eq(settle(fleet, START + DRAIN), 0);
    /* Nor by one that the list has replaced. */
    put_as(fleet, "i-1", 1, 22, DL_SERVER_LEAVING);
    ck_assert_int_eq(settle(fleet, now_us), 0);
    put_as(fleet, "i-1", 1, 23, DL_SERVER_READY);
    ck_assert_int_eq(settle(fleet, START + 2 * DRAIN), 1);
    ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_CHOSEN);
    ck_assert_str_eq(choice.server->id, "i-1");
    ck_assert_uint_eq(say_leaving(fleet, "i-1", now_us), 0);
    ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_CHOSEN);
    /* The entries of the others may come later. */
    put_as(fleet, "i-2", 1, 24, DL_SERVER_READY);
    ck_assert_int_eq(settle(fleet, now_us), 1);
    /* The list still counts, and so does another process. */
    put_as(fleet, "i-2", 1, 25, DL_SERVER_LEAVING);
    put_as(fleet, "i-1", 1, 26, DL_SERVER_LEAVING);
    ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_ALL_LEAVING);
    put_as(fleet, "i-1", 2, 27, DL_SERVER_READY);
    ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_CHOSEN);
    ck_assert_uint_eq(
        say(fleet, "i-1", 2, (dl_notice){.leaving = true}, now_us), NT_LEAVES);
    fl_destroy(fleet);
}
END_TEST

/* -- pauses --------------------------------------------------------------- */

START_TEST(test_pause_is_capped)
{
    fl_fleet *fleet = fl_create(&(fl_desc){.max_pause_s = 3});
    fl_server *one = put(fleet, "i-1");
    ck_assert_uint_eq(say_pause(fleet, "i-1", 86400000, START),
                      NT_PAUSES | NT_CAPPED);
    ck_assert_uint_ge(one->notice.reopens_us, START + 3 * S);
    ck_assert_uint_le(one->notice.reopens_us, START + 3 * S + 500 * MS);
    fl_destroy(fleet);
}
END_TEST

/* A shorter pause that is told later does not end a longer one. */
START_TEST(test_longest_pause_holds)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server *one = put(fleet, "i-1");
    ck_assert_uint_eq(say_pause(fleet, "i-1", 4000, START), NT_PAUSES);
    ck_assert_uint_eq(say_pause(fleet, "i-1", 100, START + MS), 0);
    /* An answer of a request of before the pause ends nothing. */
    ck_assert_uint_eq(say(fleet, "i-1", 1, (dl_notice){0}, START + S), 0);
    ck_assert(!nt_query_open(&one->notice, START + 3999 * MS));
    fl_destroy(fleet);
}
END_TEST

START_TEST(test_half_open)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server *one = put(fleet, "i-1");
    fl_choice choice;
    say_pause(fleet, "i-1", 1000, START);
    uint64_t now_us = one->notice.reopens_us;
    ck_assert_int_eq(choose(fleet, NULL, now_us - 1, &choice), FL_ALL_PAUSED);
    ck_assert_uint_eq(choice.resume_us, now_us);
    ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_CHOSEN);
    fl_begin_request(one, NULL, now_us);
    ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_ALL_PAUSED);
    /* It turns that one away, too. */
    ck_assert_uint_eq(say_pause(fleet, "i-1", 500, now_us + 5 * MS), 0);
    ck_assert_int_eq(choose(fleet, NULL, now_us + 400 * MS, &choice),
                     FL_ALL_PAUSED);
    now_us = one->notice.reopens_us;
    ck_assert_int_eq(choose(fleet, NULL, now_us, &choice), FL_CHOSEN);
    /* One that brings no answer holds up the next for some time only. */
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

/* The refusal's Retry-After is of the server that is back first. */
START_TEST(test_first_back)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    put(fleet, "i-1");
    fl_server *two = put(fleet, "i-2");
    put(fleet, "i-3");
    fl_choice choice;
    say_pause(fleet, "i-1", 9000, START);
    say_pause(fleet, "i-2", 3000, START);
    ck_assert_int_eq(choose(fleet, NULL, START, &choice), FL_CHOSEN);
    ck_assert(choice.skipped_paused);
    say_leaving(fleet, "i-3", START);
    ck_assert_int_eq(choose(fleet, NULL, START, &choice), FL_ALL_PAUSED);
    ck_assert_ptr_eq(choice.server, two);
    ck_assert_uint_eq(choice.resume_us, two->notice.reopens_us);
    fl_destroy(fleet);
}
END_TEST

/* Copies at a paused server: a short pause is waited for, a long one is worth
   a load elsewhere. */
START_TEST(test_copies_of_paused)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server *one = put(fleet, "i-1");
    fl_server *two = put(fleet, "i-2");
    fl_adapter *base = fl_intern(fleet, "base");
    fl_adapter *adapter = fl_intern(fleet, "base/a");
    fl_put_copy(one, base, 1, false, START);
    fl_put_copy(two, base, 1, false, START);
    fl_put_copy(one, adapter, 0, false, START);
    fl_choice choice;
    say_pause(fleet, "i-1", 500, START);
    ck_assert_int_eq(choose(fleet, adapter, START, &choice), FL_ALL_PAUSED);
    ck_assert(!choice.needs_another_copy);
    say_pause(fleet, "i-1", 5000, START);
    ck_assert_int_eq(choose(fleet, adapter, START, &choice), FL_NO_COPY);
    ck_assert_ptr_eq(fl_choose_load_server(fleet, "app", adapter, START), two);
    /* Nobody else can have it. */
    say_leaving(fleet, "i-2", START);
    ck_assert_int_eq(choose(fleet, adapter, START, &choice), FL_ALL_PAUSED);
    ck_assert_ptr_null(fl_choose_load_server(fleet, "app", adapter, START));
    /* A load on its way to it is waited for while the pause is short. */
    fl_copy *coming = fl_put_copy(one, adapter, 0, true, START);
    ck_assert(!fl_query_load_worth_waiting(fleet, coming, START));
    ck_assert(fl_query_load_worth_waiting(fleet, coming,
                                          one->notice.reopens_us - 500 * MS));
    fl_destroy(fleet);
}
END_TEST

/* -- plays ---------------------------------------------------------------- */

#define SERVERS 12
#define STEP (10 * MS)
#define NEWS (20 * MS)  /* a word of another instance is on its way */
#define WORK (60 * MS)  /* of an answer */
#define TURN (5 * MS)   /* of a refusal */
#define LOST (300 * MS) /* until a send to nobody is given up */
#define LEAST_SPAN (500 * MS)

typedef struct host {
    char id[24];
    uint64_t leaves_us; /* it says so from then on; 0: never */
    uint64_t gone_us;   /* nobody answers; 0: never */
    uint64_t listed_us; /* the list says that it leaves; 0: never */
    uint64_t pause_from_us, pause_to_us; /* it turns all away */
    bool ready;                          /* it is in the list */
    uint32_t running;
} host;

typedef struct call {
    int instance;
    int host;
    fl_server *server;
    uint64_t begun_us; /* by the client */
    uint64_t end_us;   /* the answer is there */
    enum { GOOD, TURNED, NOBODY } what;
    bool leaving; /* the answer says so */
    uint64_t pause_ms;
} call;

typedef struct word {
    int to;
    int host;
    uint64_t at_us;
} word;

typedef struct play {
    bool hears; /* false: as if the headers were not there */
    int instances;
    fl_fleet **fleets;
    GArray *hosts;   /* host */
    GArray *calls;   /* call */
    GArray *waiting; /* call, not sent */
    GArray *words;   /* word */
    GRand *random;
    uint64_t now_us;
    uint64_t *passed_us;      /* instance x host: first answer that said so */
    uint64_t *paused_us;      /* instance x host: last 503 with a pause */
    uint64_t *paused_till_us; /* and its end */
    uint32_t *in_pause;       /* arrivals since, from LEAST_SPAN on */
    uint32_t told, too_late, most_in_pause;
    uint32_t served, late, refused, sends;
} play;

#define HOSTS_MOST 32
#define AT(p, list, i, h) ((p)->list[(i)*HOSTS_MOST + (h)])

static void
enter(play *p, host *h)
{
    h->ready = true;
    for (int i = 0; i < p->instances; i++) {
        put(p->fleets[i], h->id);
    }
}

static int
add_host(play *p)
{
    host h = {0};
    g_snprintf(h.id, sizeof(h.id), "i-%u", p->hosts->len);
    g_array_append_val(p->hosts, h);
    enter(p, &g_array_index(p->hosts, host, p->hosts->len - 1));
    return (int)p->hosts->len - 1;
}

static play *
make(int instances, bool hears, uint32_t seed)
{
    play *p = g_new0(play, 1);
    p->hears = hears;
    p->instances = instances;
    p->now_us = START;
    p->random = g_rand_new_with_seed(seed);
    p->hosts = g_array_new(FALSE, TRUE, sizeof(host));
    p->calls = g_array_new(FALSE, TRUE, sizeof(call));
    p->waiting = g_array_new(FALSE, TRUE, sizeof(call));
    p->words = g_array_new(FALSE, TRUE, sizeof(word));
    p->fleets = g_new0(fl_fleet *, instances);
    size_t cells = (size_t)instances * HOSTS_MOST;
    p->passed_us = g_new0(uint64_t, cells);
    p->paused_us = g_new0(uint64_t, cells);
    p->paused_till_us = g_new0(uint64_t, cells);
    p->in_pause = g_new0(uint32_t, cells);
    for (int i = 0; i < instances; i++) {
        p->fleets[i] =
            fl_create(&(fl_desc){.seed = seed * 1000 + (uint32_t)i + 1});
    }
    for (int h = 0; h < SERVERS; h++) {
        add_host(p);
    }
    return p;
}

static void
free_play(play *p)
{
    for (int i = 0; i < p->instances; i++) {
        fl_destroy(p->fleets[i]);
    }
    g_array_unref(p->hosts);
    g_array_unref(p->calls);
    g_array_unref(p->waiting);
    g_array_unref(p->words);
    g_rand_free(p->random);
    g_free(p->fleets);
    g_free(p->passed_us);
    g_free(p->paused_us);
    g_free(p->paused_till_us);
    g_free(p->in_pause);
    g_free(p);
}

/* The list is read: entries say ready, however late that is. */
static void
read_list(play *p)
{
    for (guint h = 0; h < p->hosts->len; h++) {
        const host *host_ = &g_array_index(p->hosts, host, h);
        bool leaves = host_->listed_us && p->now_us >= host_->listed_us;
        for (int i = 0; host_->ready && i < p->instances; i++) {
            put_as(p->fleets[i], host_->id, 1, p->now_us / MS,
                   leaves ? DL_SERVER_LEAVING : DL_SERVER_READY);
            fl_note_store_version(p->fleets[i], p->now_us / MS, p->now_us);
        }
    }
    for (int i = 0; i < p->instances; i++) {
        settle(p->fleets[i], p->now_us);
    }
}

/* What comes to a server, and what it will answer. */
static void
arrive(play *p, call *c)
{
    host *h = &g_array_index(p->hosts, host, c->host);
    uint64_t passed_us = AT(p, passed_us, c->instance, c->host);
    p->too_late += passed_us && c->begun_us > passed_us + DRAIN;
    uint64_t paused_us = AT(p, paused_us, c->instance, c->host);
    if (paused_us && p->now_us >= paused_us + LEAST_SPAN &&
        p->now_us < AT(p, paused_till_us, c->instance, c->host)) {
        uint32_t count = ++AT(p, in_pause, c->instance, c->host);
        p->most_in_pause = MAX(p->most_in_pause, count);
    }
    c->leaving = h->leaves_us && p->now_us >= h->leaves_us;
    c->pause_ms = 0;
    if (h->gone_us && p->now_us >= h->gone_us) {
        c->what = NOBODY;
        c->end_us = p->now_us + LOST;
    }
    else if (p->now_us >= h->pause_from_us && p->now_us < h->pause_to_us) {
        c->what = TURNED;
        c->pause_ms = (h->pause_to_us - p->now_us) / MS;
        c->end_us = p->now_us + TURN;
    }
    else {
        c->what = GOOD;
        h->running++;
        c->end_us = p->now_us + WORK * (1 + h->running / 8);
    }
}

static void
hear(play *p, const call *c)
{
    const host *h = &g_array_index(p->hosts, host, c->host);
    uint64_t *passed_us = &AT(p, passed_us, c->instance, c->host);
    if (c->leaving && *passed_us == 0) {
        *passed_us = p->now_us;
    }
    /* The window of the first answer that asks for a pause. */
    if (c->pause_ms &&
        p->now_us >= AT(p, paused_till_us, c->instance, c->host)) {
        AT(p, paused_us, c->instance, c->host) = p->now_us;
        AT(p, paused_till_us, c->instance, c->host) =
            p->now_us + c->pause_ms * MS;
        AT(p, in_pause, c->instance, c->host) = 0;
    }
    if (!p->hears) {
        return;
    }
    dl_notice said = {.leaving = c->leaving, .pause_ms = c->pause_ms};
    uint32_t changes = say(p->fleets[c->instance], h->id, 1, said, p->now_us);
    if (changes & NT_LEAVES) {
        p->told++;
        for (int i = 0; i < p->instances; i++) {
            word w = {i, c->host, p->now_us + NEWS};
            g_array_append_val(p->words, w);
        }
    }
}

static void
end_call(play *p, call *c)
{
    host *h = &g_array_index(p->hosts, host, c->host);
    h->running -= c->what == GOOD;
    if (c->what != NOBODY) {
        hear(p, c);
    }
    fl_end_request(c->server, NULL,
                   &(fl_result){.outcome = c->what == GOOD     ? FL_SUCCEEDED
                                           : c->what == NOBODY ? FL_UNREACHABLE
                                                               : FL_REFUSED,
                                .latency_ms = 60,
                                .now_us = p->now_us});
    if (c->what == GOOD) {
        p->served++;
        p->late += p->now_us > c->begun_us + 200 * MS;
        return;
    }
    c->server = NULL;
    g_array_append_val(p->waiting, *c);
}

/* Sends, or refuses what nobody can serve or what has waited for too long. */
static bool
try_call(play *p, call *c)
{
    fl_choice choice;
    fl_choice_status why =
        choose(p->fleets[c->instance], NULL, p->now_us, &choice);
    if (why == FL_CHOSEN) {
        c->server = choice.server;
        c->host = atoi(choice.server->id + 2);
        fl_begin_request(c->server, NULL, p->now_us);
        p->sends++;
        arrive(p, c);
        g_array_append_val(p->calls, *c);
        return true;
    }
    bool over = p->now_us >= c->begun_us + 800 * MS;
    bool known =
        why == FL_ALL_LEAVING ||
        (why == FL_ALL_PAUSED && choice.resume_us > c->begun_us + 800 * MS);
    p->refused += over || known;
    return over || known;
}

static void
take_words(play *p)
{
    for (guint i = p->words->len; i > 0; i--) {
        word w = g_array_index(p->words, word, i - 1);
        if (p->now_us < w.at_us) {
            continue;
        }
        fl_server *server;
        fl_apply_notice(
            p->fleets[w.to],
            &(fl_server_notice){.id = g_array_index(p->hosts, host, w.host).id,
                                .born_ms = 1,
                                .source = NT_PEER,
                                .now_us = p->now_us},
            &server);
        g_array_remove_index_fast(p->words, i - 1);
    }
}

static void
step(play *p, double per_s)
{
    p->now_us += STEP;
    if (p->now_us % (500 * MS) == 0) {
        read_list(p);
    }
    take_words(p);
    for (guint i = p->calls->len; i > 0; i--) {
        call c = g_array_index(p->calls, call, i - 1);
        if (p->now_us >= c.end_us) {
            g_array_remove_index_fast(p->calls, i - 1);
            end_call(p, &c);
        }
    }
    double due = per_s * (double)STEP / (double)S;
    int draws = (int)ceil(due);
    for (int i = 0; i < draws; i++) {
        if (g_rand_double(p->random) < due - i) {
            call c = {.instance = g_rand_int_range(p->random, 0, p->instances),
                      .begun_us = p->now_us};
            g_array_append_val(p->waiting, c);
        }
    }
    for (guint i = p->waiting->len; i > 0; i--) {
        call c = g_array_index(p->waiting, call, i - 1);
        g_array_remove_index_fast(p->waiting, i - 1);
        if (!try_call(p, &c)) {
            g_array_append_val(p->waiting, c);
        }
    }
}

static const int sizes[] = {12, 200};

/* A third of the servers leave at once; the list calls them ready to the
   end. */
START_TEST(test_nothing_after_leaving)
{
    play *p = make(sizes[_i], true, 7);
    for (int h = 0; h < SERVERS / 3; h++) {
        g_array_index(p->hosts, host, h).leaves_us = START + S;
    }
    while (p->now_us < START + 12 * S) {
        step(p, 600);
    }
    ck_assert_uint_gt(p->served, 6000);
    ck_assert_uint_eq(p->too_late, 0);
    ck_assert_uint_eq(p->refused, 0);
    /* One word for each server, and from those that heard it at the same
       moment; never one for each answer. */
    ck_assert_uint_ge(p->told, SERVERS / 3);
    ck_assert_uint_le(p->told, SERVERS / 3 * sizes[_i]);
    printf("%d instances: %u words of %d servers\n", sizes[_i], p->told,
           SERVERS / 3);
    free_play(p);
}
END_TEST

/* The same without the headers breaks the bound: the count counts. */
START_TEST(test_leaving_unheard)
{
    play *p = make(12, false, 7);
    g_array_index(p->hosts, host, 0).leaves_us = START + S;
    while (p->now_us < START + 12 * S) {
        step(p, 600);
    }
    ck_assert_uint_gt(p->too_late, 50);
    free_play(p);
}
END_TEST

START_TEST(test_quiet_in_a_pause)
{
    play *p = make(sizes[_i], true, 8);
    for (int h = 0; h < SERVERS / 3; h++) {
        g_array_index(p->hosts, host, h).pause_from_us = START + S;
        g_array_index(p->hosts, host, h).pause_to_us = START + 5 * S;
    }
    while (p->now_us < START + 12 * S) {
        step(p, 800);
    }
    ck_assert_uint_gt(p->served, 9000);
    ck_assert_uint_le(p->most_in_pause, 2);
    ck_assert_uint_eq(p->refused, 0);
    /* All are in use again. */
    for (int i = 0; i < p->instances; i++) {
        for (int h = 0; h < SERVERS / 3; h++) {
            const fl_server *server = fl_query_server(
                p->fleets[i], g_array_index(p->hosts, host, h).id);
            ck_assert(!nt_query_paused(&server->notice, p->now_us));
        }
    }
    free_play(p);
}
END_TEST

START_TEST(test_pause_unheard)
{
    play *p = make(12, false, 8);
    g_array_index(p->hosts, host, 0).pause_from_us = START + S;
    g_array_index(p->hosts, host, 0).pause_to_us = START + 5 * S;
    while (p->now_us < START + 12 * S) {
        step(p, 800);
    }
    ck_assert_uint_gt(p->most_in_pause, 2);
    free_play(p);
}
END_TEST

/* Instances that were turned away at the same moment do not come back at the
   same moment, and each with one request. */
START_TEST(test_instances_spread)
{
    uint64_t first = UINT64_MAX;
    uint64_t last = 0;
    uint64_t sum = 0;
    for (uint32_t i = 0; i < 200; i++) {
        fl_fleet *fleet = fl_create(&(fl_desc){.seed = i + 1});
        fl_server *one = put(fleet, "i-1");
        say_pause(fleet, "i-1", 2000, START);
        first = MIN(first, one->notice.reopens_us);
        last = MAX(last, one->notice.reopens_us);
        sum += one->notice.reopens_us - START;
        fl_destroy(fleet);
    }
    ck_assert_uint_ge(first, START + 2 * S);
    ck_assert_uint_ge(last - first, 450 * MS);
    ck_assert_uint_le(last, START + 2500 * MS);
    ck_assert_uint_ge(sum / 200, 2200 * MS);
    ck_assert_uint_le(sum / 200, 2300 * MS);
}
END_TEST

/* -- what callers get, with the headers and without ----------------------- */

typedef struct outcome {
    uint32_t served, late, refused, sends;
} outcome;

static outcome
report(play *p, const char *what)
{
    uint64_t end_us = p->now_us + 2 * S;
    while (p->now_us < end_us) {
        step(p, 0);
    }
    outcome o = {p->served, p->late, p->refused, p->sends};
    printf("%s, %s: served %u, late %u, refused %u, sends %u, after leaving "
           "%u, most in a pause %u\n",
           what, p->hears ? "heard" : "unheard", o.served, o.late, o.refused,
           o.sends, p->too_late, p->most_in_pause);
    fflush(stdout);
    free_play(p);
    return o;
}

/* In turn a third of the servers turn all away for 3 s. */
static outcome
play_pauses(bool hears)
{
    play *p = make(12, hears, 3);
    while (p->now_us < START + 30 * S) {
        if ((p->now_us - START) % (6 * S) == 0) {
            int third = (int)((p->now_us - START) / (6 * S) % 3);
            for (int h = 0; h < SERVERS; h++) {
                if (h % 3 == third) {
                    host *at = &g_array_index(p->hosts, host, h);
                    at->pause_from_us = p->now_us + S;
                    at->pause_to_us = p->now_us + 4 * S;
                }
            }
        }
        step(p, 800);
    }
    return report(p, "a third pauses");
}

/* One after the other: a new server comes, the old one says that it leaves,
   is gone 3 s later, and the list says so after 4 s. */
static outcome
play_release(bool hears)
{
    play *p = make(12, hears, 4);
    int old = 0;
    while (p->now_us < START + 30 * S) {
        if ((p->now_us - START) % (2 * S) == 0 && old < SERVERS) {
            add_host(p);
            host *at = &g_array_index(p->hosts, host, old++);
            at->leaves_us = p->now_us + 500 * MS;
            at->gone_us = p->now_us + 3500 * MS;
            at->listed_us = p->now_us + 4500 * MS;
        }
        step(p, 800);
    }
    return report(p, "replaced in turn");
}

START_TEST(test_callers_get)
{
    outcome heard = _i ? play_release(true) : play_pauses(true);
    outcome unheard = _i ? play_release(false) : play_pauses(false);
    ck_assert_uint_ge(heard.served, unheard.served);
    ck_assert_uint_le(heard.refused, unheard.refused);
    ck_assert_uint_le(heard.late, unheard.late);
    ck_assert_uint_lt(heard.sends - heard.served,
                      unheard.sends - unheard.served);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("notice");
    tcase_set_timeout(tcase, 120);
    tcase_add_test(tcase, test_word_goes_before_list);
    tcase_add_test(tcase, test_list_ends_what_it_began);
    tcase_add_test(tcase, test_another_process_is_new);
    tcase_add_test(tcase, test_word_outlives_lapse);
    tcase_add_test(tcase, test_word_before_entry);
    tcase_add_test(tcase, test_no_orders);
    tcase_add_test(tcase, test_false_word_of_all);
    tcase_add_test(tcase, test_pause_is_capped);
    tcase_add_test(tcase, test_longest_pause_holds);
    tcase_add_test(tcase, test_half_open);
    tcase_add_test(tcase, test_first_back);
    tcase_add_test(tcase, test_copies_of_paused);
    tcase_add_loop_test(tcase, test_nothing_after_leaving, 0, 2);
    tcase_add_test(tcase, test_leaving_unheard);
    tcase_add_loop_test(tcase, test_quiet_in_a_pause, 0, 2);
    tcase_add_test(tcase, test_pause_unheard);
    tcase_add_test(tcase, test_instances_spread);
    tcase_add_loop_test(tcase, test_callers_get, 0, 2);
    return run_case("notice", tcase);
}
