/* Tests of the fleet: the choice of a server for a request (copies, versions,
   failures, load), of a server for a new copy, and of the copy to evict. */
#include "fleet.h"
#include "run.h"

#define MS UINT64_C(1000)

typedef struct fixture {
    fl_fleet *fleet;
    fl_adapter *base;
    uint64_t now_us;
} fixture;

static fl_server *
put_server(fixture *s, const char *id, const char *zone)
{
    dl_server entry = {.id = (char *)id,
                       .service = "llm",
                       .address = "127.0.0.1:1",
                       .zone = (char *)zone,
                       .slots = 32,
                       .state = DL_SERVER_READY,
                       .born_ms = 1};
    fl_server *server;
    fl_put_server(s->fleet, &entry, &server);
    server->orders_possible = true;
    fl_put_copy(server, s->base, 1, false, s->now_us);
    return server;
}

static fixture
make_fixture(void)
{
    fixture s = {.fleet = fl_create(&(fl_desc){.rollout_ms = 5000, .seed = 3}),
                 .now_us = 1000000 * MS};
    s.base = fl_intern(s.fleet, "base");
    return s;
}

static bool
choose_server(fixture *s, fl_adapter *adapter, fl_choice *out)
{
    return fl_choose_server(s->fleet,
                            &(fl_request){.service = "llm",
                                          .adapter = adapter,
                                          .zone = "z1",
                                          .now_us = s->now_us},
                            out);
}

START_TEST(test_only_loaded_copies_are_chosen)
{
    fixture s = make_fixture();
    fl_choice choice;
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    ck_assert(!choose_server(&s, a, &choice));
    ck_assert_int_eq(choice.status, FL_NO_SERVER);
    fl_server *one = put_server(&s, "i-1", "z1");
    ck_assert(!choose_server(&s, a, &choice));
    ck_assert_int_eq(choice.status, FL_NO_COPY);
    fl_put_copy(one, a, 0, true, s.now_us);
    ck_assert(!choose_server(&s, a, &choice));
    fl_put_copy(one, a, 0, false, s.now_us);
    ck_assert(choose_server(&s, a, &choice));
    ck_assert_ptr_eq(choice.server, one);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_leaving_server_is_not_chosen)
{
    fixture s = make_fixture();
    fl_choice choice;
    fl_server *one = put_server(&s, "i-1", "z1");
    ck_assert(choose_server(&s, s.base, &choice));
    dl_server entry = {.id = "i-1",
                       .service = "llm",
                       .address = "127.0.0.1:1",
                       .zone = "z1",
                       .slots = 32,
                       .state = DL_SERVER_LEAVING,
                       .born_ms = 1};
    fl_server *same;
    fl_put_server(s.fleet, &entry, &same);
    ck_assert_ptr_eq(same, one);
    ck_assert(!choose_server(&s, s.base, &choice));
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_restarted_server_holds_no_copies)
{
    fixture s = make_fixture();
    fl_choice choice;
    fl_server *one = put_server(&s, "i-1", "z1");
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    fl_put_copy(one, a, 0, false, s.now_us);
    dl_server entry = {.id = "i-1",
                       .service = "llm",
                       .address = "127.0.0.1:1",
                       .zone = "z1",
                       .slots = 32,
                       .state = DL_SERVER_READY,
                       .born_ms = 2};
    fl_server *same;
    ck_assert(fl_put_server(s.fleet, &entry, &same));
    ck_assert(!choose_server(&s, a, &choice));
    /* A late entry of the earlier process is ignored. */
    entry.born_ms = 1;
    ck_assert(!fl_put_server(s.fleet, &entry, &same));
    ck_assert_uint_eq(same->born_ms, 2);
    fl_destroy(s.fleet);
}
END_TEST

/* Guards against crashes that only the server list tells of: the next process
   has the id of the one that ended, or its address and another id. */
START_TEST(test_process_is_replaced_by_a_later_one_at_its_place)
{
    fixture s = make_fixture();
    dl_server entry = {.id = "i-1",
                       .service = "llm",
                       .address = "127.0.0.1:1",
                       .zone = "z1",
                       .slots = 32,
                       .state = DL_SERVER_READY,
                       .born_ms = 5};
    fl_server *one;
    fl_server *two;
    fl_put_server(s.fleet, &entry, &one);
    ck_assert(!fl_query_replaced(s.fleet, one, 5));
    entry.id = "i-2";
    entry.address = "127.0.0.1:2";
    entry.born_ms = 9;
    fl_put_server(s.fleet, &entry, &two);
    ck_assert(!fl_query_replaced(s.fleet, one, 5));
    entry.address = "127.0.0.1:1";
    entry.id = _i == 0 ? "i-3" : "i-1";
    fl_put_server(s.fleet, &entry, &two);
    ck_assert(fl_query_replaced(s.fleet, one, 5));
    ck_assert(!fl_query_replaced(s.fleet, two, 9));
    fl_remove_server(s.fleet, "i-1");
    ck_assert_int_eq(fl_query_replaced(s.fleet, one, 5), _i == 0);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_newer_version_replaces_older)
{
    fixture s = make_fixture();
    fl_choice choice;
    fl_server *old = put_server(&s, "i-1", "z1");
    fl_server *new_one = put_server(&s, "i-2", "z2");
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    fl_put_copy(old, a, 1, false, s.now_us);
    fl_declare_version(s.fleet, "base", "a1", 2, s.now_us);
    /* The older copy still serves, and a copy of the new version is
       requested. */
    ck_assert(choose_server(&s, a, &choice));
    ck_assert(choice.needs_another_copy);
    ck_assert_uint_eq(choice.version, 0);
    fl_put_copy(new_one, a, 2, false, s.now_us);
    ck_assert(choose_server(&s, a, &choice));
    ck_assert_ptr_eq(choice.server, new_one);
    ck_assert_uint_eq(choice.version, 2);
    fl_drop_copy(new_one, a);
    s.now_us += 4500 * MS;
    ck_assert(!choose_server(&s, a, &choice));
    ck_assert_int_eq(choice.status, FL_NO_COPY);
    fl_destroy(s.fleet);
}
END_TEST

/* Guards against an instance that starts when the row of an adapter names an
   older version than servers have, after a late write of the operator's: it
   used that one, and replaced the newer copies. Row first, or copies first. */
START_TEST(test_row_of_an_older_version_does_not_outdate_copies)
{
    fixture s = make_fixture();
    fl_choice choice;
    fl_server *old = put_server(&s, "i-1", "z1");
    fl_server *new_one = put_server(&s, "i-2", "z1");
    if (_i == 0) {
        fl_declare_version(s.fleet, "base", "a1", 4, 0);
    }
    fl_adapter *a =
        fl_put_copy_by_name(s.fleet, old, "base", "a1", 3, false, s.now_us);
    fl_put_copy_by_name(s.fleet, new_one, "base", "a1", 7, false, s.now_us);
    if (_i == 1) {
        fl_declare_version(s.fleet, "base", "a1", 4, 0);
    }
    ck_assert_uint_eq(a->version, 7);
    ck_assert(fl_query_up_to_date(fl_query_copy(new_one, a)));
    ck_assert(choose_server(&s, a, &choice));
    ck_assert_ptr_eq(choice.server, new_one);
    ck_assert_uint_eq(choice.version, 7);
    fl_drop_copy(new_one, a);
    ck_assert(!choose_server(&s, a, &choice));
    fl_destroy(s.fleet);
}
END_TEST

/* Where no row names a version, what servers list is none to insist on. */
START_TEST(test_listed_version_alone_is_not_required)
{
    fixture s = make_fixture();
    fl_choice choice;
    fl_server *one = put_server(&s, "i-1", "z1");
    fl_adapter *a =
        fl_put_copy_by_name(s.fleet, one, "base", "a1", 3, false, s.now_us);
    ck_assert_uint_eq(a->version, 0);
    ck_assert(choose_server(&s, a, &choice));
    ck_assert_uint_eq(choice.version, 0);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_third_version_does_not_bring_back_the_first)
{
    fixture s = make_fixture();
    fl_choice choice;
    fl_server *first = put_server(&s, "i-1", "z1");
    fl_server *second = put_server(&s, "i-2", "z2");
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    fl_put_copy(first, a, 1, false, s.now_us);
    fl_put_copy(second, a, 2, false, s.now_us);
    /* Within the time of the second version, and after it (2,500 ms). */
    uint64_t declared_us[] = {s.now_us, s.now_us + (_i ? 1000 : 6000) * MS};
    for (uint64_t i = 0; i < 2; i++) {
        s.now_us = declared_us[i];
        fl_declare_version(s.fleet, "base", "a1", 2 + i, s.now_us);
    }
    s.now_us = MAX(s.now_us, declared_us[0] + 2500 * MS);
    ck_assert(choose_server(&s, a, &choice));
    ck_assert_ptr_eq(choice.server, second);
    ck_assert_uint_eq(
        fl_query_old_version_end_us(s.fleet, a, 1) - declared_us[0],
        fl_query_old_version_end_us(s.fleet, a, 2) - declared_us[1]);
    fl_drop_copy(second, a);
    ck_assert(!choose_server(&s, a, &choice));
    ck_assert_int_eq(choice.status, FL_NO_COPY);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_many_versions_at_once_keep_none_too_long)
{
    fixture s = make_fixture();
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    for (uint64_t version = 2; version < 20; version++) {
        fl_declare_version(s.fleet, "base", "a1", version,
                           s.now_us + version * MS);
    }
    uint64_t newest_end_us = fl_query_old_version_end_us(s.fleet, a, 18);
    for (uint64_t version = 1; version < 18; version++) {
        uint64_t end_us = fl_query_old_version_end_us(s.fleet, a, version);
        ck_assert_uint_le(end_us, newest_end_us - (18 - version) * MS);
        ck_assert_uint_ge(end_us, newest_end_us - 17 * MS);
    }
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_older_declaration_is_ignored)
{
    fixture s = make_fixture();
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    fl_declare_version(s.fleet, "base", "a1", 4, s.now_us);
    fl_declare_version(s.fleet, "base", "a1", 3, s.now_us);
    ck_assert_uint_eq(a->version, 4);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_failing_server_is_avoided)
{
    fixture s = make_fixture();
    fl_server *bad = put_server(&s, "i-1", "z1");
    fl_server *good = put_server(&s, "i-2", "z2");
    for (int i = 0; i < 3; i++) {
        fl_begin_request(bad, NULL, s.now_us);
        fl_end_request(bad, NULL,
                       &(fl_result){.outcome = FL_FAILED, .now_us = s.now_us});
    }
    for (int i = 0; i < 50; i++) {
        fl_choice choice;
        ck_assert(choose_server(&s, s.base, &choice));
        ck_assert_ptr_eq(choice.server, good);
    }
    /* A server in cooldown is still chosen if there is no other. */
    fl_remove_server(s.fleet, "i-2");
    fl_choice choice;
    ck_assert(choose_server(&s, s.base, &choice));
    fl_destroy(s.fleet);
}
END_TEST

/* A server that refuses connections looks empty, as its requests have failed,
   and requests used up their sends there while the others were full. */
START_TEST(test_request_waits_for_a_place_where_the_rest_refuses_connections)
{
    fixture s = make_fixture();
    fl_server *crashed = put_server(&s, "i-1", "z1");
    fl_server *full = put_server(&s, "i-2", "z1");
    fl_set_peer_in_flight(full, 7, 500, s.now_us);
    fl_begin_request(crashed, NULL, s.now_us);
    fl_end_request(
        crashed, NULL,
        &(fl_result){.outcome = FL_UNREACHABLE, .now_us = s.now_us});
    fl_choice choice;
    ck_assert(!choose_server(&s, s.base, &choice));
    ck_assert_int_eq(choice.status, FL_ALL_FULL);
    /* So it is where the other one has refused this request. */
    fl_set_peer_in_flight(full, 7, 0, s.now_us);
    fl_request tried = {.service = "llm",
                        .adapter = s.base,
                        .now_us = s.now_us,
                        .tried = {full},
                        .tried_count = 1};
    ck_assert(!fl_choose_server(s.fleet, &tried, &choice));
    ck_assert_int_eq(choice.status, FL_ALL_FULL);
    ck_assert(choose_server(&s, s.base, &choice));
    ck_assert_ptr_eq(choice.server, full);
    /* After a moment it is tried again. */
    s.now_us += 500 * MS;
    fl_set_peer_in_flight(full, 7, 500, s.now_us);
    ck_assert(choose_server(&s, s.base, &choice));
    ck_assert_ptr_eq(choice.server, crashed);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_only_server_is_chosen_though_it_refused_a_connection)
{
    fixture s = make_fixture();
    fl_server *only = put_server(&s, "i-1", "z1");
    fl_begin_request(only, NULL, s.now_us);
    fl_end_request(
        only, NULL,
        &(fl_result){.outcome = FL_UNREACHABLE, .now_us = s.now_us});
    fl_choice choice;
    ck_assert(choose_server(&s, s.base, &choice));
    ck_assert_ptr_eq(choice.server, only);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_peer_requests_count)
{
    fixture s = make_fixture();
    fl_server *one = put_server(&s, "i-1", "z1");
    fl_server *two = put_server(&s, "i-2", "z1");
    fl_set_peer_in_flight(one, 7, 25, s.now_us);
    fl_choice choice;
    ck_assert(choose_server(&s, s.base, &choice));
    ck_assert_ptr_eq(choice.server, two);
    /* Reports that are too old are ignored. */
    s.now_us += 5000 * MS;
    fl_set_peer_in_flight(two, 7, 25, s.now_us);
    ck_assert(choose_server(&s, s.base, &choice));
    ck_assert_ptr_eq(choice.server, one);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_full_servers_are_reported)
{
    fixture s = make_fixture();
    fl_server *one = put_server(&s, "i-1", "z1");
    fl_set_peer_in_flight(one, 7, 500, s.now_us);
    fl_choice choice;
    ck_assert(!choose_server(&s, s.base, &choice));
    ck_assert_int_eq(choice.status, FL_ALL_FULL);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_load_server_is_same_at_all_instances)
{
    fixture s = make_fixture();
    fixture t = make_fixture();
    for (int i = 0; i < 12; i++) {
        g_autofree char *id = g_strdup_printf("i-%d", i);
        g_autofree char *reverse_id = g_strdup_printf("i-%d", 11 - i);
        put_server(&s, id, "z1");
        put_server(&t, reverse_id, "z1");
    }
    GHashTable *used = g_hash_table_new(g_str_hash, g_str_equal);
    for (int i = 0; i < 200; i++) {
        g_autofree char *key = g_strdup_printf("base/a%d", i);
        fl_server *here = fl_choose_load_server(
            s.fleet, "llm", fl_intern(s.fleet, key), s.now_us);
        fl_server *there = fl_choose_load_server(
            t.fleet, "llm", fl_intern(t.fleet, key), t.now_us);
        ck_assert_str_eq(here->id, there->id);
        g_hash_table_add(used, here->id);
    }
    ck_assert_uint_eq(g_hash_table_size(used), 12);
    g_hash_table_unref(used);
    fl_destroy(s.fleet);
    fl_destroy(t.fleet);
}
END_TEST

START_TEST(test_load_needs_orders_and_base_model)
{
    fixture s = make_fixture();
    fl_server *one = put_server(&s, "i-1", "z1");
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    one->orders_possible = false;
    ck_assert_ptr_null(fl_choose_load_server(s.fleet, "llm", a, s.now_us));
    one->orders_possible = true;
    fl_drop_copy(one, s.base);
    ck_assert_ptr_null(fl_choose_load_server(s.fleet, "llm", a, s.now_us));
    fl_put_copy(one, s.base, 1, false, s.now_us);
    ck_assert_ptr_eq(fl_choose_load_server(s.fleet, "llm", a, s.now_us), one);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_victim_is_least_needed_unused_copy)
{
    fixture s = make_fixture();
    fl_server *one = put_server(&s, "i-1", "z1");
    fl_adapter *hot = fl_intern(s.fleet, "base/hot");
    fl_adapter *cold = fl_intern(s.fleet, "base/cold");
    fl_adapter *busy = fl_intern(s.fleet, "base/busy");
    fl_put_copy(one, hot, 0, false, s.now_us);
    fl_put_copy(one, cold, 0, false, s.now_us);
    fl_put_copy(one, busy, 0, false, s.now_us);
    fl_add_demand(hot, 9, s.now_us);
    fl_add_demand(cold, 1, s.now_us);
    fl_begin_request(one, busy, s.now_us);
    ck_assert_ptr_null(fl_query_victim(one, s.now_us));
    s.now_us += 2000 * MS;
    ck_assert_ptr_eq(fl_query_victim(one, s.now_us)->adapter, cold);
    fl_declare_version(s.fleet, "base", "hot", 2, s.now_us);
    ck_assert_ptr_eq(fl_query_victim(one, s.now_us)->adapter, hot);
    fl_destroy(s.fleet);
}
END_TEST

/* A prompt goes to the server that has fewer prompt tokens left to process,
   whether they were sent by another instance or by this one. */
START_TEST(test_pending_prefill_counts)
{
    fixture s = make_fixture();
    fl_server *one = put_server(&s, "i-1", "z1");
    fl_server *two = put_server(&s, "i-2", "z1");
    fl_set_peer_in_flight(one, 7, 1, s.now_us);
    fl_set_peer_prefill_tokens(one, 7, 9000);
    fl_set_peer_in_flight(two, 7, 2, s.now_us);
    fl_request request = {.service = "llm",
                          .adapter = s.base,
                          .zone = "z1",
                          .prompt_tokens = 500,
                          .now_us = s.now_us};
    fl_choice choice;
    ck_assert(fl_choose_server(s.fleet, &request, &choice));
    ck_assert_ptr_eq(choice.server, two);
    uint64_t ahead = fl_begin_prefill(two, 20000, s.now_us);
    ck_assert_uint_eq(ahead, 20000);
    ck_assert(fl_choose_server(s.fleet, &request, &choice));
    ck_assert_ptr_eq(choice.server, one);
    fl_end_prefill(two, 20000, ahead, 800);
    ck_assert(fl_choose_server(s.fleet, &request, &choice));
    ck_assert_ptr_eq(choice.server, two);
    fl_destroy(s.fleet);
}
END_TEST

/* The sums of prompt tokens hold what several callers may write into their
   requests: none wraps around. */
START_TEST(test_prefill_sums_of_the_greatest_prompts_do_not_wrap)
{
    enum { PROMPTS = 3 };
    fixture s = make_fixture();
    fl_server *one = put_server(&s, "i-1", "z1");
    const uint64_t all = PROMPTS * (uint64_t)UINT32_MAX;
    fl_update_prefill_ms(one, 1, 1000); /* ms of 1000 tokens */
    for (uint64_t i = 1; i <= PROMPTS; i++) {
        ck_assert_uint_eq(fl_begin_prefill(one, UINT32_MAX, s.now_us),
                          i * UINT32_MAX);
    }
    fl_set_peer_in_flight(one, 7, 1, s.now_us);
    fl_set_peer_prefill_tokens(one, 7, UINT32_MAX);
    ck_assert_double_ge(fl_query_prefill_ms(one, UINT32_MAX, s.now_us),
                        (double)(all + UINT32_MAX));
    for (int i = 0; i < PROMPTS; i++) {
        fl_end_prefill(one, UINT32_MAX, all, 0);
    }
    fl_set_peer_in_flight(one, 7, 0, s.now_us);
    ck_assert_double_eq(fl_query_prefill_ms(one, 0, s.now_us), 0);
    fl_destroy(s.fleet);
}
END_TEST

/* An older version serves during a grace time, but not for a request that
   would only begin after it, behind the prompts in flight there. */
START_TEST(test_old_version_not_used_after_long_prefill)
{
    fixture s = make_fixture();
    fl_server *one = put_server(&s, "i-1", "z1");
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    fl_put_copy(one, a, 1, false, s.now_us);
    fl_declare_version(s.fleet, "base", "a1", 2, s.now_us);
    fl_choice choice;
    ck_assert(choose_server(&s, a, &choice));
    ck_assert_ptr_eq(choice.server, one);
    fl_update_prefill_ms(one, 1, 100); /* ms of 1000 tokens */
    fl_set_peer_in_flight(one, 7, 9, s.now_us);
    fl_set_peer_prefill_tokens(one, 7, 60000);
    ck_assert(!choose_server(&s, a, &choice));
    ck_assert_int_eq(choice.status, FL_NO_COPY);
    fl_destroy(s.fleet);
}
END_TEST

/* A copy is not evicted while a request of another instance uses it. */
START_TEST(test_copies_used_by_peers_are_not_evicted)
{
    fixture s = make_fixture();
    fl_server *one = put_server(&s, "i-1", "z1");
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    fl_put_copy(one, a, 0, false, s.now_us);
    s.now_us += 1000 * MS;
    fl_set_peer_in_flight(one, 7, 1, s.now_us);
    fl_set_peer_copy_in_flight(one, 7, (uint32_t)a->hash, 1, s.now_us);
    s.now_us += 1000 * MS;
    ck_assert_ptr_null(fl_query_victim(one, s.now_us));
    fl_clear_peer_copies_in_flight(one, 7);
    ck_assert_ptr_nonnull(fl_query_victim(one, s.now_us));
    fl_destroy(s.fleet);
}
END_TEST

/* An adapter with copies at other servers is evicted before one whose only
   copy has less total demand but more per copy. */
START_TEST(test_adapter_with_more_copies_is_evicted_first)
{
    fixture s = make_fixture();
    fl_server *one = put_server(&s, "i-1", "z1");
    fl_adapter *many = fl_intern(s.fleet, "base/many");
    fl_adapter *alone = fl_intern(s.fleet, "base/alone");
    fl_put_copy(one, many, 0, false, s.now_us);
    fl_put_copy(one, alone, 0, false, s.now_us);
    for (int i = 2; i < 8; i++) {
        g_autofree char *id = g_strdup_printf("i-%d", i);
        fl_put_copy(put_server(&s, id, "z1"), many, 0, false, s.now_us);
    }
    fl_add_demand(many, 9, s.now_us);
    fl_add_demand(alone, 4, s.now_us);
    s.now_us += 1000 * MS;
    ck_assert_ptr_eq(fl_query_victim(one, s.now_us)->adapter, many);
    fl_destroy(s.fleet);
}
END_TEST

/* An adapter is loaded again at the server that dropped it last, as its
   weights are cached there, until that server restarts. */
START_TEST(test_load_prefers_server_with_cached_weights)
{
    fixture s = make_fixture();
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    for (int i = 0; i < 6; i++) {
        g_autofree char *id = g_strdup_printf("i-%d", i);
        put_server(&s, id, "z1");
    }
    fl_server *preferred = fl_choose_load_server(s.fleet, "llm", a, s.now_us);
    for (int i = 0; i < 6; i++) {
        g_autofree char *id = g_strdup_printf("i-%d", i);
        fl_server *server = fl_query_server(s.fleet, id);
        if (server == preferred) {
            continue;
        }
        fl_put_copy(server, a, 0, false, s.now_us);
        fl_drop_copy(server, a);
        ck_assert(fl_query_locally_cached(server, a));
        ck_assert_ptr_eq(fl_choose_load_server(s.fleet, "llm", a, s.now_us),
                         server);
        dl_server entry = {.id = id,
                           .service = "llm",
                           .address = "127.0.0.1:1",
                           .zone = "z1",
                           .slots = 32,
                           .state = DL_SERVER_READY,
                           .born_ms = 2};
        ck_assert(fl_put_server(s.fleet, &entry, &server));
        fl_put_copy(server, s.base, 1, false, s.now_us);
        ck_assert(!fl_query_locally_cached(server, a));
        ck_assert_ptr_eq(fl_choose_load_server(s.fleet, "llm", a, s.now_us),
                         preferred);
    }
    fl_destroy(s.fleet);
}
END_TEST

/* A server whose holder reports queued loads, or to which many loads were
   requested since, is chosen after the others. */
START_TEST(test_load_avoids_server_without_capacity)
{
    fixture s = make_fixture();
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    put_server(&s, "i-1", "z1");
    put_server(&s, "i-2", "z1");
    fl_server *preferred = fl_choose_load_server(s.fleet, "llm", a, s.now_us);
    fl_set_load_capacity(preferred, -6, s.now_us);
    ck_assert_ptr_ne(fl_choose_load_server(s.fleet, "llm", a, s.now_us),
                     preferred);
    fl_set_load_capacity(preferred, 2, s.now_us);
    ck_assert_ptr_eq(fl_choose_load_server(s.fleet, "llm", a, s.now_us),
                     preferred);
    preferred->requested_loads = 8;
    ck_assert_ptr_ne(fl_choose_load_server(s.fleet, "llm", a, s.now_us),
                     preferred);
    fl_destroy(s.fleet);
}
END_TEST

/* Guards against a new server that stands idle while the others are overrun:
   how fast it is shows only once it has served. */
START_TEST(test_new_plain_server_gets_its_part_at_once)
{
    fixture s = make_fixture();
    fl_choice choice;
    fl_server *old = put_server(&s, "i-1", "z1");
    fl_begin_request(old, NULL, s.now_us);
    fl_end_request(old, NULL,
                   &(fl_result){.outcome = FL_SUCCEEDED,
                                .latency_ms = 2,
                                .now_us = s.now_us});
    fl_server *added = put_server(&s, "i-2", "z1");
    int chosen = 0;
    for (int i = 0; i < 100; i++) {
        ck_assert(choose_server(&s, NULL, &choice));
        chosen += choice.server == added;
    }
    ck_assert_int_gt(chosen, 20);
    ck_assert_int_lt(chosen, 80);
    fl_destroy(s.fleet);
}
END_TEST

/* Requests of others at each of four servers, of which the first has fewest.
 */
static void
add_others(fixture *s, fl_server **servers, uint32_t in_flight)
{
    for (int i = 0; i < 4; i++) {
        g_autofree char *id = g_strdup_printf("i-%d", i);
        servers[i] = put_server(s, id, "z1");
        fl_begin_request(servers[i], s->base, s->now_us);
        fl_end_request(servers[i], s->base,
                       &(fl_result){.outcome = FL_SUCCEEDED,
                                    .event_ms = 20,
                                    .held_ms = 50,
                                    .now_us = s->now_us});
        fl_set_peer_in_flight(servers[i], 7, in_flight + (i ? 3 : 0),
                              s->now_us);
    }
}

/* Returns how many of the servers are chosen in 200 choices. */
static int
count_chosen(fixture *s, fl_server *const *servers)
{
    bool chosen[4] = {false};
    fl_choice choice;
    for (int i = 0; i < 200; i++) {
        ck_assert(choose_server(s, s->base, &choice));
        for (int j = 0; j < 4; j++) {
            chosen[j] = chosen[j] || choice.server == servers[j];
        }
    }
    return chosen[0] + chosen[1] + chosen[2] + chosen[3];
}

/* Guards against all instances sending to the server that looks idle, and
   against spreading where others send too little to matter. */
START_TEST(test_unseen_requests_of_others_spread_the_choice)
{
    static const struct {
        double age_ms;
        uint32_t in_flight;
        int chosen;
    } plays[] = {{0, 8, 1}, {1, 8, 1}, {100, 0, 1}, {100, 8, 4}};
    fixture s = make_fixture();
    fl_server *servers[4];
    add_others(&s, servers, plays[_i].in_flight);
    if (plays[_i].in_flight == 0) {
        for (int i = 1; i < 4; i++) {
            fl_set_peer_in_flight(servers[i], 7, 0, s.now_us);
            for (int j = 0; j < 3; j++) {
                fl_begin_request(servers[i], s.base, s.now_us);
            }
        }
    }
    fl_set_report_age_ms(s.fleet, plays[_i].age_ms);
    ck_assert_int_eq(count_chosen(&s, servers), plays[_i].chosen);
    fl_destroy(s.fleet);
}
END_TEST

/* A stream that goes on would lose the rest by a refusal of a full server. */
START_TEST(test_request_that_needs_a_slot_goes_to_no_full_server)
{
    fixture s = make_fixture();
    fl_server *one = put_server(&s, "i-1", "z1");
    fl_request request = {
        .service = "llm", .adapter = s.base, .now_us = s.now_us};
    fl_choice choice;
    for (uint32_t i = 0; i < one->slots; i++) {
        request.needs_slot = true;
        ck_assert(fl_choose_server(s.fleet, &request, &choice));
        fl_begin_request(one, s.base, s.now_us);
    }
    ck_assert(!fl_choose_server(s.fleet, &request, &choice));
    ck_assert_int_eq(choice.status, FL_ALL_FULL);
    request.needs_slot = false;
    ck_assert(fl_choose_server(s.fleet, &request, &choice));
    fl_destroy(s.fleet);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("fleet");
    tcase_add_test(tcase, test_pending_prefill_counts);
    tcase_add_test(tcase, test_new_plain_server_gets_its_part_at_once);
    tcase_add_loop_test(
        tcase, test_unseen_requests_of_others_spread_the_choice, 0, 4);
    tcase_add_test(tcase,
                   test_prefill_sums_of_the_greatest_prompts_do_not_wrap);
    tcase_add_test(tcase, test_old_version_not_used_after_long_prefill);
    tcase_add_test(tcase, test_copies_used_by_peers_are_not_evicted);
    tcase_add_test(tcase, test_adapter_with_more_copies_is_evicted_first);
    tcase_add_test(tcase, test_load_prefers_server_with_cached_weights);
    tcase_add_test(tcase, test_load_avoids_server_without_capacity);
    tcase_add_test(tcase, test_only_loaded_copies_are_chosen);
    tcase_add_test(tcase, test_leaving_server_is_not_chosen);
    tcase_add_test(tcase, test_restarted_server_holds_no_copies);
    tcase_add_loop_test(
        tcase, test_process_is_replaced_by_a_later_one_at_its_place, 0, 2);
    tcase_add_test(tcase, test_newer_version_replaces_older);
    tcase_add_loop_test(
        tcase, test_row_of_an_older_version_does_not_outdate_copies, 0, 2);
    tcase_add_test(tcase, test_listed_version_alone_is_not_required);
    tcase_add_loop_test(
        tcase, test_third_version_does_not_bring_back_the_first, 0, 2);
    tcase_add_test(tcase, test_many_versions_at_once_keep_none_too_long);
    tcase_add_test(tcase, test_older_declaration_is_ignored);
    tcase_add_test(tcase, test_failing_server_is_avoided);
    tcase_add_test(
        tcase,
        test_request_waits_for_a_place_where_the_rest_refuses_connections);
    tcase_add_test(tcase,
                   test_only_server_is_chosen_though_it_refused_a_connection);
    tcase_add_test(tcase, test_peer_requests_count);
    tcase_add_test(tcase, test_full_servers_are_reported);
    tcase_add_test(tcase, test_load_server_is_same_at_all_instances);
    tcase_add_test(tcase, test_load_needs_orders_and_base_model);
    tcase_add_test(tcase, test_victim_is_least_needed_unused_copy);
    tcase_add_test(tcase,
                   test_request_that_needs_a_slot_goes_to_no_full_server);
    return run_case("fleet", tcase);
}
