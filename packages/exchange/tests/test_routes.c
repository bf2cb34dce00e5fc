/* Tests of routes: selection by host and longest prefix, split by weight. */
#include "lacewing/routes.h"
#include "run.h"

static rc_table *
make_table(void)
{
    static const struct {
        const char *name, *host, *prefix;
    } routes[] = {{"short", "A.example", "/x/"},
                  {"long", "a.example", "/x/y/"},
                  {"other", "b.example", "/x/"}};
    rc_table *table = rc_create(7);
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        rc_target targets[] = {{g_strdup("s1"), 90}, {g_strdup("s2"), 10}};
        rc_route route = {.name = g_strdup(routes[i].name),
                          .host = g_strdup(routes[i].host),
                          .prefix = g_strdup(routes[i].prefix),
                          .targets =
                              g_array_new(FALSE, TRUE, sizeof(rc_target))};
        g_array_append_vals(route.targets, targets, 2);
        rc_add_route(table, &route);
    }
    rc_seal(table);
    return table;
}

static const struct {
    const char *host, *target, *expected;
} route_cases[] = {
    {"a.example", "/x/1", "short"},
    {"a.example", "/x/y/1", "long"},
    {"a.example:80", "/x/y/?q=/x/", "long"},
    {"A.EXAMPLE", "/x/yy/", "short"},
    {"a.example", "/x", NULL},
    {"a.example", "/X/1", NULL},
    {"a.example", "/q?/x/", NULL},
    {"c.example", "/x/1", NULL},
    {"b.example", "http://b.example/x/1", "other"},
    {"b.example", "*", NULL},
};

START_TEST(test_find_route)
{
    g_autoptr(rc_table) table = make_table();
    const rc_route *route =
        rc_query_route(table, route_cases[_i].host, route_cases[_i].target);
    if (route_cases[_i].expected) {
        ck_assert_ptr_nonnull(route);
        ck_assert_str_eq(route->name, route_cases[_i].expected);
    }
    else {
        ck_assert_ptr_null(route);
    }
}
END_TEST

START_TEST(test_split_by_weight)
{
    g_autoptr(rc_table) table = make_table();
    const rc_route *route = rc_query_route(table, "a.example", "/x/1");
    uint32_t first = 0;
    for (uint32_t draw = 0; draw < 1000; draw++) {
        first += strcmp(rc_query_target(route, draw), "s1") == 0;
    }
    ck_assert_uint_eq(first, 900);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("routes");
    tcase_add_loop_test(tcase, test_find_route, 0, G_N_ELEMENTS(route_cases));
    tcase_add_test(tcase, test_split_by_weight);
    return run_case("routes", tcase);
}
