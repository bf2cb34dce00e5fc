#include "lacewing/routes.h"

#include <string.h>

struct rc_table {
    uint32_t refs;
    uint64_t version;
    bool sealed;
    rc_limits limits;
    wp_table *workspaces; /* NULL: no keys are needed */
    GPtrArray *routes;    /* rc_route */
    GPtrArray *services;  /* rc_service */
    /* host in lower case -> GPtrArray of rc_route, longest prefix first */
    GHashTable *routes_by_host;
    GHashTable *services_by_name; /* name -> rc_service */
};

/* -- private -------------------------------------------------------------- */

static void
_rc_clear_target(void *data)
{
    g_free(((rc_target *)data)->service);
}

static void
_rc_free_route(void *data)
{
    rc_route *route = data;
    g_free(route->name);
    g_free(route->host);
    g_free(route->prefix);
    if (route->targets) {
        g_array_set_clear_func(route->targets, _rc_clear_target);
        g_array_unref(route->targets);
    }
    g_free(route);
}

static void
_rc_clear_model(void *data)
{
    g_free(((rc_model *)data)->name);
}

static void
_rc_free_service(void *data)
{
    rc_service *service = data;
    g_free(service->name);
    if (service->models) {
        g_array_set_clear_func(service->models, _rc_clear_model);
        g_array_unref(service->models);
    }
    g_free(service);
}

static gint
_rc_compare_prefix_length(gconstpointer a, gconstpointer b)
{
    const rc_route *left = *(rc_route *const *)a;
    const rc_route *right = *(rc_route *const *)b;
    size_t left_length = strlen(left->prefix);
    size_t right_length = strlen(right->prefix);
    return left_length == right_length ? 0
                                       : (left_length > right_length ? -1 : 1);
}

/* Returns the path of a request target in origin form or absolute form. */
static const char *
_rc_path_of_target(const char *target)
{
    if (*target == '/') {
        return target;
    }
    const char *scheme = strstr(target, "://");
    const char *slash = scheme ? strchr(scheme + 3, '/') : NULL;
    return slash ? slash : "/";
}

static bool
_rc_path_has_prefix(const char *path, const char *prefix)
{
    size_t path_length = strcspn(path, "?#");
    size_t length = strlen(prefix);
    return length <= path_length && memcmp(path, prefix, length) == 0;
}

/* -- public --------------------------------------------------------------- */

rc_table *
rc_create(uint64_t version)
{
    rc_table *table = g_new0(rc_table, 1);
    table->refs = 1;
    table->version = version;
    table->routes = g_ptr_array_new_with_free_func(_rc_free_route);
    table->services = g_ptr_array_new_with_free_func(_rc_free_service);
    table->routes_by_host = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    table->services_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    return table;
}

rc_table *
rc_ref(rc_table *table)
{
    table->refs++;
    return table;
}

void
rc_unref(rc_table *table)
{
    if (!table || --table->refs > 0) {
        return;
    }
    g_hash_table_unref(table->routes_by_host);
    g_hash_table_unref(table->services_by_name);
    g_ptr_array_unref(table->routes);
    wp_destroy(table->workspaces);
    g_ptr_array_unref(table->services);
    g_free(table);
}

void
rc_add_service(rc_table *table, const rc_service *service)
{
    g_assert(!table->sealed);
    rc_service *copy = g_memdup2(service, sizeof(*service));
    g_ptr_array_add(table->services, copy);
    g_hash_table_replace(table->services_by_name, copy->name, copy);
}

void
rc_add_route(rc_table *table, const rc_route *route)
{
    g_assert(!table->sealed);
    rc_route *copy = g_memdup2(route, sizeof(*route));
    copy->weight_sum = 0;
    for (guint i = 0; i < copy->targets->len; i++) {
        copy->weight_sum += g_array_index(copy->targets, rc_target, i).weight;
    }
    g_ptr_array_add(table->routes, copy);
    char *host = g_ascii_strdown(copy->host, -1);
    GPtrArray *list = g_hash_table_lookup(table->routes_by_host, host);
    if (list) {
        g_free(host);
    }
    else {
        list = g_ptr_array_new();
        g_hash_table_insert(table->routes_by_host, host, list);
    }
    g_ptr_array_add(list, copy);
}

void
rc_set_workspaces(rc_table *table, wp_table *workspaces)
{
    g_assert(!table->sealed && !table->workspaces);
    table->workspaces = workspaces;
}

void
rc_set_limits(rc_table *table, const rc_limits *limits)
{
    g_assert(!table->sealed);
    table->limits = *limits;
}

void
rc_seal(rc_table *table)
{
    GHashTableIter iter;
    gpointer list;
    g_hash_table_iter_init(&iter, table->routes_by_host);
    while (g_hash_table_iter_next(&iter, NULL, &list)) {
        g_ptr_array_sort(list, _rc_compare_prefix_length);
    }
    table->sealed = true;
}

uint64_t
rc_query_version(const rc_table *table)
{
    return table->version;
}

uint32_t
rc_query_route_count(const rc_table *table)
{
    return table->routes->len;
}

const wp_table *
rc_query_workspaces(const rc_table *table)
{
    return table->workspaces;
}

const rc_limits *
rc_query_limits(const rc_table *table)
{
    return &table->limits;
}

const rc_route *
rc_query_route(const rc_table *table, const char *host, const char *target)
{
    char name[256]; /* a host name has at most 253 bytes */
    size_t length = strcspn(host, ":");
    if (length >= sizeof(name)) {
        return NULL;
    }
    for (size_t i = 0; i < length; i++) {
        name[i] = g_ascii_tolower(host[i]);
    }
    name[length] = '\0';
    const GPtrArray *list = g_hash_table_lookup(table->routes_by_host, name);
    const char *path = _rc_path_of_target(target);
    for (guint i = 0; list && i < list->len; i++) {
        const rc_route *route = list->pdata[i];
        if (_rc_path_has_prefix(path, route->prefix)) {
            return route;
        }
    }
    return NULL;
}

const rc_service *
rc_query_service(const rc_table *table, const char *name)
{
    return name ? g_hash_table_lookup(table->services_by_name, name) : NULL;
}

const char *
rc_query_target(const rc_route *route, uint32_t draw)
{
    if (route->targets->len == 0) {
        return NULL;
    }
    uint32_t left = route->weight_sum ? draw % route->weight_sum : 0;
    for (guint i = 0; i < route->targets->len; i++) {
        const rc_target *target = &g_array_index(route->targets, rc_target, i);
        if (left < target->weight) {
            return target->service;
        }
        left -= target->weight;
    }
    return g_array_index(route->targets, rc_target, 0).service;
}

const rc_model *
rc_query_model(const rc_service *service, const char *name)
{
    for (guint i = 0; service->models && i < service->models->len; i++) {
        const rc_model *model = &g_array_index(service->models, rc_model, i);
        if (strcmp(model->name, name) == 0) {
            return model;
        }
    }
    return NULL;
}

void
rc_each_route(const rc_table *table, rc_route_callback call, void *user_data)
{
    for (guint i = 0; i < table->routes->len; i++) {
        call(table->routes->pdata[i], user_data);
    }
}

void
rc_each_service(const rc_table *table, rc_service_callback call,
                void *user_data)
{
    for (guint i = 0; i < table->services->len; i++) {
        call(table->services->pdata[i], user_data);
    }
}
