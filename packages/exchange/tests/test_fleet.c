/* Tests of the choice of servers: copies, versions, failures, placing. */
#include "fleet.h"
#include "run.h"

#define MS UINT64_C(1000)

typedef struct scene {
    fl_fleet *fleet;
    fl_adapter *base;
    uint64_t now_us;
} scene;

static fl_server *
put(scene *s, const char *id, const char *zone)
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

static scene
make(void)
{
    scene s = {.fleet = fl_create(&(fl_desc){.version_ms = 5000, .seed = 3}),
               .now_us = 1000000 * MS};
    s.base = fl_intern(s.fleet, "base");
    return s;
}

static bool
choose(scene *s, fl_adapter *adapter, fl_choice *out)
{
    return fl_choose(s->fleet,
                     &(fl_want){.service = "llm",
                                .adapter = adapter,
                                .zone = "z1",
                                .now_us = s->now_us},
                     out);
}

START_TEST(test_only_loaded_copies)
{
    scene s = make();
    fl_choice choice;
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    ck_assert(!choose(&s, a, &choice));
    ck_assert_int_eq(choice.why, FL_NO_SERVER);
    fl_server *one = put(&s, "i-1", "z1");
    ck_assert(!choose(&s, a, &choice));
    ck_assert_int_eq(choice.why, FL_NO_COPY);
    fl_put_copy(one, a, 0, true, s.now_us);
    ck_assert(!choose(&s, a, &choice));
    fl_put_copy(one, a, 0, false, s.now_us);
    ck_assert(choose(&s, a, &choice));
    ck_assert_ptr_eq(choice.server, one);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_leaving_gets_nothing)
{
    scene s = make();
    fl_choice choice;
    fl_server *one = put(&s, "i-1", "z1");
    ck_assert(choose(&s, s.base, &choice));
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
    ck_assert(!choose(&s, s.base, &choice));
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_new_incarnation_holds_nothing)
{
    scene s = make();
    fl_choice choice;
    fl_server *one = put(&s, "i-1", "z1");
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
    ck_assert(!choose(&s, a, &choice));
    /* An entry of the process before does not bring it back. */
    entry.born_ms = 1;
    ck_assert(!fl_put_server(s.fleet, &entry, &same));
    ck_assert_uint_eq(same->born_ms, 2);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_versions)
{
    scene s = make();
    fl_choice choice;
    fl_server *old = put(&s, "i-1", "z1");
    fl_server *new_one = put(&s, "i-2", "z2");
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    fl_put_copy(old, a, 1, false, s.now_us);
    fl_declare_version(s.fleet, "base", "a1", 2, s.now_us);
    /* For a while the old one serves, and a new one is asked for. */
    ck_assert(choose(&s, a, &choice));
    ck_assert(choice.more_copies);
    ck_assert_uint_eq(choice.version, 0);
    fl_put_copy(new_one, a, 2, false, s.now_us);
    ck_assert(choose(&s, a, &choice));
    ck_assert_ptr_eq(choice.server, new_one);
    ck_assert_uint_eq(choice.version, 2);
    fl_drop_copy(new_one, a);
    s.now_us += 4500 * MS;
    ck_assert(!choose(&s, a, &choice));
    ck_assert_int_eq(choice.why, FL_NO_COPY);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_older_version_does_not_return)
{
    scene s = make();
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    fl_declare_version(s.fleet, "base", "a1", 4, s.now_us);
    fl_declare_version(s.fleet, "base", "a1", 3, s.now_us);
    ck_assert_uint_eq(a->version, 4);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_failing_server_is_left_alone)
{
    scene s = make();
    fl_server *bad = put(&s, "i-1", "z1");
    fl_server *good = put(&s, "i-2", "z2");
    for (int i = 0; i < 3; i++) {
        fl_begin(bad, NULL, s.now_us);
        fl_end(bad, NULL,
               &(fl_result){.outcome = FL_BAD_ANSWER, .now_us = s.now_us});
    }
    for (int i = 0; i < 50; i++) {
        fl_choice choice;
        ck_assert(choose(&s, s.base, &choice));
        ck_assert_ptr_eq(choice.server, good);
    }
    /* It is all that is left: better than nothing. */
    fl_remove_server(s.fleet, "i-2");
    fl_choice choice;
    ck_assert(choose(&s, s.base, &choice));
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_load_of_others_counts)
{
    scene s = make();
    fl_server *one = put(&s, "i-1", "z1");
    fl_server *two = put(&s, "i-2", "z1");
    fl_set_peer_load(one, 7, 25, s.now_us);
    fl_choice choice;
    ck_assert(choose(&s, s.base, &choice));
    ck_assert_ptr_eq(choice.server, two);
    /* Word that is old is no word. */
    s.now_us += 5000 * MS;
    fl_set_peer_load(two, 7, 25, s.now_us);
    ck_assert(choose(&s, s.base, &choice));
    ck_assert_ptr_eq(choice.server, one);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_full_is_said)
{
    scene s = make();
    fl_server *one = put(&s, "i-1", "z1");
    fl_set_peer_load(one, 7, 500, s.now_us);
    fl_choice choice;
    ck_assert(!choose(&s, s.base, &choice));
    ck_assert_int_eq(choice.why, FL_ALL_FULL);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_place_is_the_same_everywhere)
{
    scene s = make();
    scene t = make();
    for (int i = 0; i < 12; i++) {
        g_autofree char *id = g_strdup_printf("i-%d", i);
        g_autofree char *back = g_strdup_printf("i-%d", 11 - i);
        put(&s, id, "z1");
        put(&t, back, "z1");
    }
    GHashTable *used = g_hash_table_new(g_str_hash, g_str_equal);
    for (int i = 0; i < 200; i++) {
        g_autofree char *key = g_strdup_printf("base/a%d", i);
        fl_server *here =
            fl_place(s.fleet, "llm", fl_intern(s.fleet, key), s.now_us);
        fl_server *there =
            fl_place(t.fleet, "llm", fl_intern(t.fleet, key), t.now_us);
        ck_assert_str_eq(here->id, there->id);
        g_hash_table_add(used, here->id);
    }
    ck_assert_uint_eq(g_hash_table_size(used), 12);
    g_hash_table_unref(used);
    fl_destroy(s.fleet);
    fl_destroy(t.fleet);
}
END_TEST

START_TEST(test_place_needs_orders_and_model)
{
    scene s = make();
    fl_server *one = put(&s, "i-1", "z1");
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    one->orders_possible = false;
    ck_assert_ptr_null(fl_place(s.fleet, "llm", a, s.now_us));
    one->orders_possible = true;
    fl_drop_copy(one, s.base);
    ck_assert_ptr_null(fl_place(s.fleet, "llm", a, s.now_us));
    fl_put_copy(one, s.base, 1, false, s.now_us);
    ck_assert_ptr_eq(fl_place(s.fleet, "llm", a, s.now_us), one);
    fl_destroy(s.fleet);
}
END_TEST

START_TEST(test_victim)
{
    scene s = make();
    fl_server *one = put(&s, "i-1", "z1");
    fl_adapter *hot = fl_intern(s.fleet, "base/hot");
    fl_adapter *cold = fl_intern(s.fleet, "base/cold");
    fl_adapter *busy = fl_intern(s.fleet, "base/busy");
    fl_put_copy(one, hot, 0, false, s.now_us);
    fl_put_copy(one, cold, 0, false, s.now_us);
    fl_put_copy(one, busy, 0, false, s.now_us);
    fl_add_use(hot, 9, s.now_us);
    fl_add_use(cold, 1, s.now_us);
    fl_begin(one, busy, s.now_us);
    ck_assert_ptr_null(fl_query_victim(one, s.now_us));
    s.now_us += 2000 * MS;
    ck_assert_ptr_eq(fl_query_victim(one, s.now_us)->adapter, cold);
    fl_declare_version(s.fleet, "base", "hot", 2, s.now_us);
    ck_assert_ptr_eq(fl_query_victim(one, s.now_us)->adapter, hot);
    fl_destroy(s.fleet);
}
END_TEST

/* Two copies; prompts that others have sent to one of them are still to be
   read there. */
START_TEST(test_unread_prompts_count)
{
    scene s = make();
    fl_server *one = put(&s, "i-1", "z1");
    fl_server *two = put(&s, "i-2", "z1");
    fl_set_peer_load(one, 7, 1, s.now_us);
    fl_set_peer_unread(one, 7, 9000);
    fl_set_peer_load(two, 7, 2, s.now_us);
    fl_want want = {.service = "llm",
                    .adapter = s.base,
                    .zone = "z1",
                    .prompt_tokens = 500,
                    .now_us = s.now_us};
    fl_choice choice;
    ck_assert(fl_choose(s.fleet, &want, &choice));
    ck_assert_ptr_eq(choice.server, two);
    uint32_t ahead = fl_begin_read(two, 20000, s.now_us);
    ck_assert_uint_eq(ahead, 20000);
    ck_assert(fl_choose(s.fleet, &want, &choice));
    ck_assert_ptr_eq(choice.server, one);
    fl_end_read(two, 20000, ahead, 800);
    ck_assert(fl_choose(s.fleet, &want, &choice));
    ck_assert_ptr_eq(choice.server, two);
    fl_destroy(s.fleet);
}
END_TEST

/* An older version serves for a while, but nothing that would begin after. */
START_TEST(test_old_version_not_behind_a_queue)
{
    scene s = make();
    fl_server *one = put(&s, "i-1", "z1");
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    fl_put_copy(one, a, 1, false, s.now_us);
    fl_declare_version(s.fleet, "base", "a1", 2, s.now_us);
    fl_choice choice;
    ck_assert(choose(&s, a, &choice));
    ck_assert_ptr_eq(choice.server, one);
    fl_learn_reads(one, 1, 100); /* ms of 1000 tokens */
    fl_set_peer_load(one, 7, 9, s.now_us);
    fl_set_peer_unread(one, 7, 60000);
    ck_assert(!choose(&s, a, &choice));
    ck_assert_int_eq(choice.why, FL_NO_COPY);
    fl_destroy(s.fleet);
}
END_TEST

/* What an instance has under way with a copy keeps it, wherever it runs. */
START_TEST(test_copies_used_by_others_stay)
{
    scene s = make();
    fl_server *one = put(&s, "i-1", "z1");
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    fl_put_copy(one, a, 0, false, s.now_us);
    s.now_us += 1000 * MS;
    fl_set_peer_load(one, 7, 1, s.now_us);
    fl_set_peer_use(one, 7, (uint32_t)a->hash, 1, s.now_us);
    s.now_us += 1000 * MS;
    ck_assert_ptr_null(fl_query_victim(one, s.now_us));
    fl_clear_peer_uses(one, 7);
    ck_assert_ptr_nonnull(fl_query_victim(one, s.now_us));
    fl_destroy(s.fleet);
}
END_TEST

/* A copy that others back up makes way before one that stands alone. */
START_TEST(test_victim_of_many_copies)
{
    scene s = make();
    fl_server *one = put(&s, "i-1", "z1");
    fl_adapter *many = fl_intern(s.fleet, "base/many");
    fl_adapter *alone = fl_intern(s.fleet, "base/alone");
    fl_put_copy(one, many, 0, false, s.now_us);
    fl_put_copy(one, alone, 0, false, s.now_us);
    for (int i = 2; i < 8; i++) {
        g_autofree char *id = g_strdup_printf("i-%d", i);
        fl_put_copy(put(&s, id, "z1"), many, 0, false, s.now_us);
    }
    fl_add_use(many, 9, s.now_us);
    fl_add_use(alone, 4, s.now_us);
    s.now_us += 1000 * MS;
    ck_assert_ptr_eq(fl_query_victim(one, s.now_us)->adapter, many);
    fl_destroy(s.fleet);
}
END_TEST

/* The server that had it lately loads it again, until it began anew. */
START_TEST(test_place_where_it_is_at_hand)
{
    scene s = make();
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    for (int i = 0; i < 6; i++) {
        g_autofree char *id = g_strdup_printf("i-%d", i);
        put(&s, id, "z1");
    }
    fl_server *home = fl_place(s.fleet, "llm", a, s.now_us);
    for (int i = 0; i < 6; i++) {
        g_autofree char *id = g_strdup_printf("i-%d", i);
        fl_server *server = fl_query_server(s.fleet, id);
        if (server == home) {
            continue;
        }
        fl_put_copy(server, a, 0, false, s.now_us);
        fl_drop_copy(server, a);
        ck_assert(fl_query_at_hand(server, a));
        ck_assert_ptr_eq(fl_place(s.fleet, "llm", a, s.now_us), server);
        dl_server entry = {.id = id,
                           .service = "llm",
                           .address = "127.0.0.1:1",
                           .zone = "z1",
                           .slots = 32,
                           .state = DL_SERVER_READY,
                           .born_ms = 2};
        ck_assert(fl_put_server(s.fleet, &entry, &server));
        fl_put_copy(server, s.base, 1, false, s.now_us);
        ck_assert(!fl_query_at_hand(server, a));
        ck_assert_ptr_eq(fl_place(s.fleet, "llm", a, s.now_us), home);
    }
    fl_destroy(s.fleet);
}
END_TEST

/* A holder's server where loads already wait for a place comes last. */
START_TEST(test_place_where_there_is_room)
{
    scene s = make();
    fl_adapter *a = fl_intern(s.fleet, "base/a1");
    put(&s, "i-1", "z1");
    put(&s, "i-2", "z1");
    fl_server *home = fl_place(s.fleet, "llm", a, s.now_us);
    fl_set_room(home, -6, s.now_us);
    ck_assert_ptr_ne(fl_place(s.fleet, "llm", a, s.now_us), home);
    fl_set_room(home, 2, s.now_us);
    ck_assert_ptr_eq(fl_place(s.fleet, "llm", a, s.now_us), home);
    home->asks = 8;
    ck_assert_ptr_ne(fl_place(s.fleet, "llm", a, s.now_us), home);
    fl_destroy(s.fleet);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("fleet");
    tcase_add_test(tcase, test_unread_prompts_count);
    tcase_add_test(tcase, test_old_version_not_behind_a_queue);
    tcase_add_test(tcase, test_copies_used_by_others_stay);
    tcase_add_test(tcase, test_victim_of_many_copies);
    tcase_add_test(tcase, test_place_where_it_is_at_hand);
    tcase_add_test(tcase, test_place_where_there_is_room);
    tcase_add_test(tcase, test_only_loaded_copies);
    tcase_add_test(tcase, test_leaving_gets_nothing);
    tcase_add_test(tcase, test_new_incarnation_holds_nothing);
    tcase_add_test(tcase, test_versions);
    tcase_add_test(tcase, test_older_version_does_not_return);
    tcase_add_test(tcase, test_failing_server_is_left_alone);
    tcase_add_test(tcase, test_load_of_others_counts);
    tcase_add_test(tcase, test_full_is_said);
    tcase_add_test(tcase, test_place_is_the_same_everywhere);
    tcase_add_test(tcase, test_place_needs_orders_and_model);
    tcase_add_test(tcase, test_victim);
    return run_case("fleet", tcase);
}
