#include "lacewing/route_check.h"

#include <string.h>

typedef struct _rk_run {
    const rc_table *table;
    rk_callback call;
    void *user_data;
    uint32_t errors;
    GHashTable *prefixes; /* "HOST PREFIX" -> name of the route */
    GHashTable *lines;    /* subject -> what it holds */
} _rk_run;

static const struct {
    const char *name;
    bool is_error;
} _rk_kinds[] = {
#define RK_ROW(code, name, is_error) {name, is_error},
    RK_KINDS(RK_ROW)
#undef RK_ROW
};

/* -- private: checks ------------------------------------------------------ */

G_GNUC_PRINTF(4, 5)
static void
_rk_report(_rk_run *run, rk_kind kind, const char *subject, const char *format,
           ...)
{
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *why = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    run->errors += _rk_kinds[kind].is_error;
    run->call(&(rk_finding){.kind = kind, .subject = subject, .why = why},
              run->user_data);
}

static void
_rk_check_targets(_rk_run *run, const rc_route *route, const char *subject)
{
    for (guint i = 0; i < route->targets->len; i++) {
        const rc_target *target = &g_array_index(route->targets, rc_target, i);
        if (!rc_query_service(run->table, target->service)) {
            _rk_report(run, RK_UNKNOWN_SERVICE, subject,
                       "its service \"%s\" is not in the configuration",
                       target->service);
        }
        else if (target->weight == 0 && route->targets->len > 1) {
            _rk_report(run, RK_NEVER_MATCHES, subject,
                       "its service \"%s\" has the weight 0", target->service);
        }
    }
    if (route->weight_sum == 0) {
        _rk_report(run, RK_NO_TARGET, subject, "no service gets its requests");
    }
}

static void
_rk_check_times(_rk_run *run, const rc_route *route, const char *subject)
{
    if (route->timeout_ms && route->latency_target_ms > route->timeout_ms) {
        _rk_report(run, RK_CONTRADICTION, subject,
                   "its target of %u ms is above its timeout of %u ms",
                   route->latency_target_ms, route->timeout_ms);
    }
    if (route->max_servers == 0) {
        _rk_report(run, RK_CONTRADICTION, subject,
                   "no server may run its requests");
    }
    if (route->resumable && route->max_servers == 1) {
        _rk_report(run, RK_CONTRADICTION, subject,
                   "its streams may go on elsewhere, but at one server only");
    }
    if (route->resumable && route->kind != RC_STREAM) {
        _rk_report(run, RK_CONTRADICTION, subject,
                   "only streams can be resumed");
    }
}

static void
_rk_check_route(const rc_route *route, void *user_data)
{
    _rk_run *run = user_data;
    g_autofree char *subject = g_strdup_printf("route %s", route->name);
    g_autofree char *host = g_ascii_strdown(route->host, -1);
    char *match = g_strdup_printf("%s %s", host, route->prefix);
    const char *first = g_hash_table_lookup(run->prefixes, match);
    if (first) {
        _rk_report(run, RK_NEVER_MATCHES, subject,
                   "route %s has the same host and prefix, %s", first, match);
        g_free(match);
    }
    else {
        g_hash_table_insert(run->prefixes, match, route->name);
    }
    if (!g_str_has_prefix(route->prefix, "/") ||
        !g_str_has_suffix(route->prefix, "/")) {
        _rk_report(run, RK_NEVER_MATCHES, subject,
                   "its prefix \"%s\" does not begin and end with a slash",
                   route->prefix);
    }
    _rk_check_targets(run, route, subject);
    _rk_check_times(run, route, subject);
}

static void
_rk_check_service(const rc_service *service, void *user_data)
{
    _rk_run *run = user_data;
    g_autofree char *subject = g_strdup_printf("service %s", service->name);
    for (guint i = 0; service->engine && i < service->models->len; i++) {
        const rc_model *model = &g_array_index(service->models, rc_model, i);
        if (model->weights_mb > service->weights_mb) {
            _rk_report(run, RK_TOO_LITTLE_MEMORY, subject,
                       "model %s takes %.0f MB, a server has %.0f",
                       model->name, model->weights_mb, service->weights_mb);
        }
        else if (model->adapter_count && service->max_adapters &&
                 model->weights_mb + model->adapter_mb > service->weights_mb) {
            _rk_report(run, RK_TOO_LITTLE_MEMORY, subject,
                       "beside model %s there is no room for an adapter",
                       model->name);
        }
    }
}

static void
_rk_check_workspace(const wp_workspace *workspace, void *user_data)
{
    _rk_run *run = user_data;
    g_autofree char *subject =
        g_strdup_printf("workspace %s", workspace->name);
    if (workspace->key_count == 0) {
        _rk_report(run, RK_NO_WAY_IN, subject, "it has no key");
    }
    if (workspace->shared_key_count) {
        _rk_report(run, RK_SHARED_KEY, subject,
                   "another workspace has %u of its keys",
                   workspace->shared_key_count);
    }
    if (workspace->per_s <= 0 && workspace->burst > 0) {
        _rk_report(run, RK_CONTRADICTION, subject,
                   "it has a burst but no rate, so there is no limit");
    }
    if (workspace->in_tokens && workspace->per_s > 0 &&
        workspace->plain_tokens > workspace->burst + workspace->per_s) {
        _rk_report(run, RK_CONTRADICTION, subject,
                   "a request without a number of tokens counts as %u, more "
                   "than its quota has",
                   workspace->plain_tokens);
    }
}

static void
_rk_check_limits(_rk_run *run)
{
    const rc_limits *limits = rc_query_limits(run->table);
    if (limits->head_ms && limits->idle_ms &&
        limits->head_ms > limits->idle_ms) {
        _rk_report(run, RK_CONTRADICTION, "limits",
                   "a head may take %u ms, an idle connection ends after %u",
                   limits->head_ms, limits->idle_ms);
    }
}

/* -- private: comparison -------------------------------------------------- */

static void
_rk_add_route_line(const rc_route *route, void *user_data)
{
    _rk_run *run = user_data;
    GString *text = g_string_new(NULL);
    g_string_printf(text,
                    "kind %d timeout_ms %u target_ms %u gap_ms %u priority %u "
                    "servers %u resumable %d public %d",
                    (int)route->kind, route->timeout_ms,
                    route->latency_target_ms, route->gap_target_ms,
                    route->priority, route->max_servers, route->resumable,
                    route->is_public);
    for (guint i = 0; i < route->targets->len; i++) {
        const rc_target *target = &g_array_index(route->targets, rc_target, i);
        g_string_append_printf(text, " to %s:%u", target->service,
                               target->weight);
    }
    g_hash_table_replace(
        run->lines, g_strdup_printf("route %s%s", route->host, route->prefix),
        g_string_free(text, FALSE));
}

static void
_rk_add_service_line(const rc_service *service, void *user_data)
{
    _rk_run *run = user_data;
    GString *text = g_string_new(NULL);
    g_string_printf(text,
                    "connections %u slots %u adapters %u tokens %u mb %.0f "
                    "loads_per_s %.1f",
                    service->max_connections, service->slots,
                    service->max_adapters, service->kv_tokens,
                    service->weights_mb, service->loads_per_s);
    for (guint i = 0; i < service->models->len; i++) {
        const rc_model *model = &g_array_index(service->models, rc_model, i);
        g_string_append_printf(text, " model %s:%.0f adapters %u", model->name,
                               model->weights_mb, model->adapter_count);
    }
    g_hash_table_replace(run->lines,
                         g_strdup_printf("service %s", service->name),
                         g_string_free(text, FALSE));
}

/* Keys are told by their number and a digest. */
static void
_rk_add_workspace_line(const wp_workspace *workspace, void *user_data)
{
    _rk_run *run = user_data;
    g_hash_table_replace(
        run->lines, g_strdup_printf("workspace %s", workspace->name),
        g_strdup_printf(
            "keys %u (%08x) priority %s%u unit %s plain %u rate %.1f "
            "burst %.1f",
            workspace->key_count, workspace->keys_digest,
            workspace->has_priority ? "" : "of the route, ",
            workspace->priority, workspace->in_tokens ? "tokens" : "requests",
            workspace->plain_tokens, workspace->per_s, workspace->burst));
}

static GHashTable *
_rk_make_lines(const rc_table *table)
{
    GHashTable *lines =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    _rk_run run = {.lines = lines};
    rc_each_route(table, _rk_add_route_line, &run);
    rc_each_service(table, _rk_add_service_line, &run);
    if (rc_query_workspaces(table)) {
        wp_each(rc_query_workspaces(table), _rk_add_workspace_line, &run);
    }
    const rc_limits *limits = rc_query_limits(table);
    g_hash_table_replace(
        lines, g_strdup("limits"),
        g_strdup_printf("head_bytes %u body_bytes %" G_GUINT64_FORMAT
                        " head_ms %u idle_ms %u",
                        limits->head_bytes, limits->body_bytes,
                        limits->head_ms, limits->idle_ms));
    return lines;
}

/* Reports the entries of one side, in the order of their names. */
static uint32_t
_rk_compare_lines(_rk_run *run, GHashTable *lines, GHashTable *others,
                  bool after)
{
    uint32_t count = 0;
    GList *subjects = g_hash_table_get_keys(lines);
    subjects = g_list_sort(subjects, (GCompareFunc)strcmp);
    for (GList *at = subjects; at; at = at->next) {
        const char *line = g_hash_table_lookup(lines, at->data);
        const char *other = g_hash_table_lookup(others, at->data);
        if (!other) {
            _rk_report(run, after ? RK_ADDED : RK_REMOVED, at->data, "%s",
                       line);
            count++;
        }
        else if (after && strcmp(line, other) != 0) {
            _rk_report(run, RK_CHANGED, at->data, "was: %s; now: %s", other,
                       line);
            count++;
        }
    }
    g_list_free(subjects);
    return count;
}

/* -- public --------------------------------------------------------------- */

uint32_t
rk_check(const rc_table *table, rk_callback call, void *user_data)
{
    g_autoptr(GHashTable) prefixes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    _rk_run run = {.table = table,
                   .call = call,
                   .user_data = user_data,
                   .prefixes = prefixes};
    rc_each_route(table, _rk_check_route, &run);
    rc_each_service(table, _rk_check_service, &run);
    if (rc_query_workspaces(table)) {
        wp_each(rc_query_workspaces(table), _rk_check_workspace, &run);
    }
    _rk_check_limits(&run);
    return run.errors;
}

uint32_t
rk_compare(const rc_table *before, const rc_table *after, rk_callback call,
           void *user_data)
{
    _rk_run run = {.call = call, .user_data = user_data};
    g_autoptr(GHashTable) old_lines = _rk_make_lines(before);
    g_autoptr(GHashTable) new_lines = _rk_make_lines(after);
    return _rk_compare_lines(&run, old_lines, new_lines, false) +
           _rk_compare_lines(&run, new_lines, old_lines, true);
}

const char *
rk_query_name(rk_kind kind)
{
    return _rk_kinds[kind].name;
}

bool
rk_query_is_error(rk_kind kind)
{
    return _rk_kinds[kind].is_error;
}
