/* Generates the configuration, with a reason above each derived value. */
#include "questions.h"

#include "lacewing/feasibility.h"
#include <string.h>

#define EJECT_SHARE_MIN_PCT 34
#define PERCENT 100
#define STOP_DEADLINE_FACTOR 2
#define STOP_MS_MIN 60000

/* hedge_budget_pct, by what matters most. */
#define HEDGE_PEAK_PCT 2
#define HEDGE_OTHER_PCT 3
#define HEDGE_SLOWED_PCT 5

/* -- private: values with reasons ----------------------------------------- */

static void
_qn_write(GKeyFile *out, const char *group, const char *key, const char *value,
          const char *reason)
{
    g_key_file_set_string(out, group, key, value);
    if (reason) {
        g_autofree char *comment = g_strdup_printf(" %s", reason);
        g_key_file_set_comment(out, group, key, comment, NULL);
    }
}

static void
_qn_write_number(GKeyFile *out, const char *group, const char *key,
                 uint64_t value, const char *reason)
{
    g_autofree char *text = g_strdup_printf("%" G_GUINT64_FORMAT, value);
    _qn_write(out, group, key, text, reason);
}

static void
_qn_write_double(GKeyFile *out, const char *group, const char *key,
                 double value, const char *reason)
{
    char text[G_ASCII_DTOSTR_BUF_SIZE];
    g_ascii_formatd(text, sizeof text, "%g", value);
    _qn_write(out, group, key, text, reason);
}

static void
_qn_write_list(GKeyFile *out, const char *group, const char *key, char **list,
               const char *reason)
{
    g_autofree char *text = g_strjoinv("; ", list);
    _qn_write(out, group, key, text, reason);
}

/* -- private: derived limits ---------------------------------------------- */

static uint32_t
_qn_longest_deadline_ms(const qn_answers *answers)
{
    GPtrArray *list = answers->groups[QN_GROUP_OPERATIONS];
    uint32_t longest = 0;
    for (uint32_t i = 0; i < list->len; i++) {
        const qn_operation *operation = g_ptr_array_index(list, i);
        longest = MAX(longest, operation->deadline_ms);
    }
    return longest;
}

static uint32_t
_qn_engines_in_zone(const qn_answers *answers, const char *zone)
{
    GPtrArray *list = answers->groups[QN_GROUP_SERVERS];
    uint32_t count = 0;
    for (uint32_t i = 0; i < list->len; i++) {
        const qn_server_group *servers = g_ptr_array_index(list, i);
        char **zones = qn_query_zones(answers, servers);
        for (uint32_t nth = 0;
             servers->kind == QN_ENGINE && nth < servers->count; nth++) {
            const char *own = zones[nth % g_strv_length(zones)];
            count += strcmp(own, zone) == 0 ? 1 : 0;
        }
    }
    return count;
}

/* The share must let each zone with two or more engines eject one of them as
   a straggler. */
static void
_qn_write_eject_share(const qn_answers *answers, GKeyFile *out)
{
    uint32_t fewest = UINT32_MAX;
    for (char **zone = answers->deployment.zones; *zone; zone++) {
        uint32_t engines = _qn_engines_in_zone(answers, *zone);
        fewest = engines && engines < fewest ? engines : fewest;
    }
    if (fewest == UINT32_MAX || fewest < 2) {
        return;
    }
    uint32_t one_pct = (PERCENT + fewest - 1) / fewest;
    g_autofree char *reason =
        g_strdup_printf("at least a third, and enough to eject one of the %u "
                        "engines in the zone with the fewest",
                        fewest);
    _qn_write_number(out, "limits", "eject_share_pct",
                     MAX(EJECT_SHARE_MIN_PCT, one_pct), reason);
}

static void
_qn_write_hedging(const qn_answers *answers, GKeyFile *out)
{
    switch ((qn_objective)answers->deployment.objective) {
    case QN_OBJECTIVE_PEAK:
        _qn_write_number(out, "limits", "hedge_budget_pct", HEDGE_PEAK_PCT,
                         "few second attempts: at peak demand they take slots "
                         "from first attempts");
        return;
    case QN_OBJECTIVE_SLOWED_SERVERS:
        _qn_write_number(out, "limits", "hedge_budget_pct", HEDGE_SLOWED_PCT,
                         "more second attempts: slowed servers matter most");
        return;
    case QN_OBJECTIVE_HEAD_OF_LINE:
    case QN_OBJECTIVE_LOADS:
        _qn_write_number(out, "limits", "hedge_budget_pct", HEDGE_OTHER_PCT,
                         "a medium number of second attempts: neither peak "
                         "demand nor slowed servers matter most");
        return;
    }
}

static void
_qn_write_limits(const qn_answers *answers, GKeyFile *out)
{
    const qn_deployment *deployment = &answers->deployment;
    _qn_write_double(out, "limits", "loads_per_s", deployment->loads_per_s,
                     "as answered in [store] loads_per_s");
    _qn_write_number(out, "limits", "loads_at_once", deployment->loads_at_once,
                     "as answered in [store] loads_at_once");
    _qn_write_number(out, "limits", "loads_in_transit",
                     deployment->loads_in_transit,
                     "as answered in [store] loads_in_transit");
    _qn_write_number(out, "limits", "load_ms", deployment->load_ms,
                     "as answered in [store] load_ms");
    _qn_write_number(out, "limits", "entry_instances", deployment->instances,
                     "as answered in [instances] count; the weight store's "
                     "load rate is divided by it");
    _qn_write_eject_share(answers, out);
    _qn_write_hedging(answers, out);
    uint64_t stop_ms =
        (uint64_t)_qn_longest_deadline_ms(answers) * STOP_DEADLINE_FACTOR;
    _qn_write_number(out, "limits", "stop_ms", MAX(stop_ms, STOP_MS_MIN),
                     "twice the longest deadline, at least one minute, so "
                     "that a planned stop interrupts no request");
}

/* -- private: groups of the configuration --------------------------------- */

static void
_qn_write_deployment(const qn_answers *answers, GKeyFile *out)
{
    const qn_deployment *deployment = &answers->deployment;
    _qn_write(out, "deployment", "name", deployment->name,
              deployment->description);
    _qn_write(out, "deployment", "region", deployment->region, NULL);
    _qn_write_limits(answers, out);
    _qn_write_number(out, "tolerances", "first_token_ms",
                     deployment->first_token_ms,
                     "as answered in [tolerances] first_token_ms");
    _qn_write_number(out, "tolerances", "token_interval_ms",
                     deployment->token_interval_ms,
                     "as answered in [tolerances] token_interval_ms");
    for (char **zone = deployment->zones; *zone; zone++) {
        g_autofree char *group = g_strdup_printf("zone %s", *zone);
        _qn_write_double(out, group, "latency_ms", deployment->latency_ms,
                         "as answered in [instances] latency_ms");
    }
}

static void
_qn_write_engine(GKeyFile *out, const char *group,
                 const qn_server_group *servers)
{
    _qn_write_number(out, group, "adapter_slots", servers->adapter_slots,
                     NULL);
    if (servers->tokens_per_s) {
        _qn_write_number(out, group, "tokens_per_s", servers->tokens_per_s,
                         "initial value; the actual speed is learned");
    }
    else {
        _qn_write(out, group, "tokens_per_s", "0", "unknown; learned");
    }
    bool pauses = servers->pauses == QN_YES;
    _qn_write(out, group, "pausable", pauses ? "true" : "false",
              servers->pauses == QN_UNKNOWN ? "unknown, so not relied on"
                                            : "as answered");
}

static void
_qn_write_server(const qn_answers *answers, const qn_server_group *servers,
                 uint32_t nth, GKeyFile *out)
{
    g_autofree char *group =
        g_strdup_printf("server %s-%u", servers->name, nth + 1);
    char **zones = qn_query_zones(answers, servers);
    g_autofree char *address = qn_query_address(servers, nth);
    _qn_write(out, group, "zone", zones[nth % g_strv_length(zones)],
              "zones are assigned in turn");
    _qn_write(out, group, "address", address, NULL);
    _qn_write(out, group, "kind",
              servers->kind == QN_ENGINE ? "engine" : "service", NULL);
    _qn_write_number(out, group, "slots", servers->slots, NULL);
    bool checks = servers->checks_fence == QN_YES;
    _qn_write(out, group, "fence", checks ? "check" : "ignore",
              servers->checks_fence == QN_UNKNOWN
                  ? "unknown, so treated as a server that obeys old orders"
                  : "as answered");
    if (servers->kind == QN_ENGINE) {
        _qn_write_engine(out, group, servers);
    }
}

static char **
_qn_server_names(const qn_answers *answers, char **groups)
{
    g_autoptr(GStrvBuilder) names = g_strv_builder_new();
    for (char **group = groups; *group; group++) {
        const qn_server_group *servers =
            qn_query_server_group(answers, *group);
        for (uint32_t nth = 0; nth < servers->count; nth++) {
            g_autofree char *name =
                g_strdup_printf("%s-%u", servers->name, nth + 1);
            g_strv_builder_add(names, name);
        }
    }
    return g_strv_builder_end(names);
}

static void
_qn_write_operation(const qn_answers *answers, const qn_operation *operation,
                    GKeyFile *out)
{
    g_autofree char *group = g_strdup_printf("operation %s", operation->name);
    bool draft = operation->kind == QN_DRAFT;
    _qn_write(out, group, "kind", draft ? "draft" : "call", NULL);
    _qn_write_number(
        out, group, "deadline_ms", operation->deadline_ms,
        "as answered in late_after_ms; a later answer is of no use");
    if (draft) {
        _qn_write_number(out, group, "max_tokens", operation->max_tokens,
                         "as answered in longest_tokens");
        return;
    }
    bool repeat = operation->may_repeat == QN_YES;
    _qn_write(
        out, group, "idempotent", repeat ? "true" : "false",
        repeat
            ? "may run more than once, so it is retried"
            : "may not repeat, so it is claimed first and never sent twice");
    if (operation->servers[0]) {
        g_auto(GStrv) names = _qn_server_names(answers, operation->servers);
        _qn_write_list(out, group, "servers", names,
                       "the servers of the groups that were answered");
    }
}

static void
_qn_write_team(const qn_team *team, GKeyFile *out)
{
    g_autofree char *group = g_strdup_printf("team %s", team->name);
    _qn_write_number(out, group, "weight", team->weight, NULL);
    _qn_write_number(out, group, "requests_per_s", team->requests_per_s, NULL);
    _qn_write_list(out, group, "keys", team->keys, NULL);
}

static void
_qn_write_adapters(const qn_adapter_group *adapters, GKeyFile *out)
{
    g_autofree char *model = g_strdup_printf("model %s", adapters->model);
    /* Creates the group without any key. */
    g_key_file_set_string(out, model, "name", "");
    g_key_file_remove_key(out, model, "name", NULL);
    int digits = snprintf(NULL, 0, "%u", adapters->count);
    for (uint32_t i = 0; i < adapters->count; i++) {
        g_autofree char *group =
            g_strdup_printf("adapter %s%0*u", adapters->prefix, digits, i + 1);
        _qn_write(out, group, "model", adapters->model, NULL);
        _qn_write(out, group, "team", adapters->team, NULL);
        _qn_write(out, group, "versions", adapters->version, NULL);
        if (i < adapters->always_warm) {
            _qn_write(out, group, "pinned", "1",
                      "one of the first always_warm adapters: never waits for "
                      "a load");
        }
    }
}

static char *
_qn_config_text(const qn_answers *answers)
{
    g_autoptr(GKeyFile) out = g_key_file_new();
    _qn_write_deployment(answers, out);
    GPtrArray *const *lists = answers->groups;
    for (uint32_t i = 0; i < lists[QN_GROUP_SERVERS]->len; i++) {
        const qn_server_group *servers =
            g_ptr_array_index(lists[QN_GROUP_SERVERS], i);
        for (uint32_t nth = 0; nth < servers->count; nth++) {
            _qn_write_server(answers, servers, nth, out);
        }
    }
    for (uint32_t i = 0; i < lists[QN_GROUP_TEAMS]->len; i++) {
        _qn_write_team(g_ptr_array_index(lists[QN_GROUP_TEAMS], i), out);
    }
    for (uint32_t i = 0; i < lists[QN_GROUP_OPERATIONS]->len; i++) {
        _qn_write_operation(
            answers, g_ptr_array_index(lists[QN_GROUP_OPERATIONS], i), out);
    }
    for (uint32_t i = 0; i < lists[QN_GROUP_ADAPTERS]->len; i++) {
        _qn_write_adapters(g_ptr_array_index(lists[QN_GROUP_ADAPTERS], i),
                           out);
    }
    return g_key_file_to_data(out, NULL, NULL);
}

/* -- private: check of the generated configuration ------------------------ */

static er_code
_qn_check_config_text(const char *text, const char *file, qn_problem *problem)
{
    g_autoptr(dc_config) config = NULL;
    er_status status = {0};
    if (dc_parse(text, file, &config, &status) != ER_OK) {
        qn_problem_set(problem, QN_ANSWER_REFUSED, "configuration", NULL, "%s",
                       status.message);
        return ER_SETTING_CONFLICT;
    }
    g_autoptr(dc_findings) findings = dc_check_feasibility(config);
    for (uint32_t i = 0; i < dc_findings_query_count(findings); i++) {
        const dc_finding *finding = dc_findings_query_at(findings, i);
        if (dc_query_finding_is_error(finding->code)) {
            qn_problem_set(problem, QN_CANNOT_WORK, finding->group, NULL, "%s",
                           finding->message);
            return ER_SETTING_CONFLICT;
        }
    }
    return ER_OK;
}

static er_code
_qn_generate(const qn_answers *answers, const char *file, char **text,
             qn_problem *problem)
{
    if (!qn_answers_check(answers, problem)) {
        return ER_SETTING_CONFLICT;
    }
    g_autofree char *config_text = _qn_config_text(answers);
    er_code code = _qn_check_config_text(config_text, file, problem);
    if (code == ER_OK) {
        *text = g_steal_pointer(&config_text);
    }
    return code;
}

/* -- public --------------------------------------------------------------- */

er_code
qn_generate(GKeyFile *parsed, const char *file, char **text,
            qn_problem *problem)
{
    qn_answers answers = {0};
    er_status status = {0};
    er_code code = qn_answers_load(parsed, file, &answers, &status);
    if (code == ER_OK) {
        code = _qn_generate(&answers, file, text, problem);
    }
    else {
        qn_answers_describe_load_error(parsed, file, &status, problem);
        code = ER_SETTING_CONFLICT;
    }
    qn_answers_clear(&answers);
    return code;
}
