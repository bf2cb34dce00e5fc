/* Checks the answers against each other; queries on servers and zones. */
#include "questions.h"

#include "lacewing/config.h"
#include <gio/gio.h>
#include <stdarg.h>
#include <string.h>

#define MS_PER_S 1000
#define PORT_MAX 65535

/* -- private: problems ---------------------------------------------------- */

static const char *const problem_names[QN_PROBLEM_NUM] = {
#define QN_ROW(code, name) [code] = name,
    QN_PROBLEMS(QN_ROW)
#undef QN_ROW
};

const char *
qn_query_problem_name(qn_problem_code code)
{
    return problem_names[code];
}

void
qn_problem_clear(qn_problem *problem)
{
    g_clear_pointer(&problem->question, g_free);
    g_clear_pointer(&problem->message, g_free);
}

bool
qn_problem_set(qn_problem *problem, qn_problem_code code, const char *group,
               const char *key, const char *format, ...)
{
    problem->code = code;
    problem->question =
        g_strdup_printf("[%s]%s%s", group, key ? " " : "", key ? key : "");
    va_list arguments;
    va_start(arguments, format);
    problem->message = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    return false;
}

static char *
_qn_group_name(qn_group_type type, const char *name)
{
    return g_strdup_printf("%s %s", qn_group_tables[type].type_name, name);
}

/* -- queries -------------------------------------------------------------- */

char **
qn_query_zones(const qn_answers *answers, const qn_server_group *servers)
{
    return servers->zones[0] ? servers->zones : answers->deployment.zones;
}

const qn_server_group *
qn_query_server_group(const qn_answers *answers, const char *name)
{
    GPtrArray *list = answers->groups[QN_GROUP_SERVERS];
    for (uint32_t i = 0; i < list->len; i++) {
        const qn_server_group *servers = g_ptr_array_index(list, i);
        if (strcmp(servers->name, name) == 0) {
            return servers;
        }
    }
    return NULL;
}

char *
qn_query_address(const qn_server_group *servers, uint32_t nth)
{
    g_auto(GStrv) parts = g_strsplit(servers->first_address, ":", 2);
    guint64 port = 0;
    if (g_strv_length(parts) != 2 ||
        !g_ascii_string_to_unsigned(parts[1], 10, 1, PORT_MAX, &port, NULL)) {
        return NULL;
    }
    g_autoptr(GInetAddress) ip = g_inet_address_new_from_string(parts[0]);
    if (!ip || g_inet_address_get_family(ip) != G_SOCKET_FAMILY_IPV4) {
        return NULL;
    }
    if (servers->next_address == QN_STEP_PORT) {
        port += nth;
        return port > PORT_MAX
                   ? NULL
                   : g_strdup_printf("%s:%" G_GUINT64_FORMAT, parts[0], port);
    }
    uint32_t number = 0;
    memcpy(&number, g_inet_address_to_bytes(ip), sizeof number);
    number = g_htonl(g_ntohl(number) + nth);
    g_autoptr(GInetAddress) moved = g_inet_address_new_from_bytes(
        (const guint8 *)&number, G_SOCKET_FAMILY_IPV4);
    g_autofree char *text = g_inet_address_to_string(moved);
    return g_strdup_printf("%s:%" G_GUINT64_FORMAT, text, port);
}

/* -- private: instances and zones ----------------------------------------- */

static bool
_qn_check_zones(const qn_answers *answers, qn_problem *problem)
{
    char **zones = answers->deployment.zones;
    if (!zones[0]) {
        return qn_problem_set(problem, QN_NOTHING_DESCRIBED, "instances",
                              "zones",
                              "no zone is named; one or more are required");
    }
    for (uint32_t i = 0; zones[i]; i++) {
        if (!dc_query_is_valid_name(zones[i])) {
            return qn_problem_set(
                problem, QN_NAME_UNUSABLE, "instances", "zones",
                "%s is not a valid name; allowed are A-Z a-z 0-9 . _ -",
                zones[i]);
        }
        for (uint32_t j = 0; j < i; j++) {
            if (strcmp(zones[i], zones[j]) == 0) {
                return qn_problem_set(
                    problem, QN_ZONE_TWICE, "instances", "zones",
                    "zone %s is listed twice; list each once", zones[i]);
            }
        }
    }
    uint32_t count = g_strv_length(zones);
    if (answers->deployment.instances < count) {
        return qn_problem_set(
            problem, QN_FEWER_INSTANCES_THAN_ZONES, "instances", "count",
            "%u instances cannot cover %u zones; use %u or more",
            answers->deployment.instances, count, count);
    }
    return true;
}

/* -- private: servers ----------------------------------------------------- */

static bool
_qn_check_server_zones(const qn_answers *answers,
                       const qn_server_group *servers, const char *group,
                       qn_problem *problem)
{
    char **zones = qn_query_zones(answers, servers);
    for (char **zone = zones; *zone; zone++) {
        if (!g_strv_contains((const char *const *)answers->deployment.zones,
                             *zone)) {
            g_autofree char *known =
                g_strjoinv(", ", answers->deployment.zones);
            return qn_problem_set(problem, QN_ZONE_UNKNOWN, group, "zones",
                                  "there is no zone %s; the zones are %s",
                                  *zone, known);
        }
    }
    uint32_t count = g_strv_length(zones);
    if (servers->count < count) {
        return qn_problem_set(
            problem, QN_FEWER_SERVERS_THAN_ZONES, group, "count",
            "%u servers cannot cover %u zones; use %u or more, or fewer zones",
            servers->count, count, count);
    }
    return true;
}

static bool
_qn_check_server_group(const qn_answers *answers,
                       const qn_server_group *servers, qn_problem *problem)
{
    g_autofree char *group = _qn_group_name(QN_GROUP_SERVERS, servers->name);
    if (!dc_query_is_valid_name(servers->name)) {
        return qn_problem_set(
            problem, QN_NAME_UNUSABLE, group, NULL,
            "the name is not valid; allowed are A-Z a-z 0-9 . _ -");
    }
    g_autofree char *last = qn_query_address(servers, servers->count - 1);
    if (!last) {
        return qn_problem_set(
            problem, QN_ADDRESS_UNUSABLE, group, "first_address",
            "%s gives no valid address for server %u; use an IPv4 address and "
            "a port, such as 10.0.0.1:8000",
            servers->first_address, servers->count);
    }
    if (servers->kind == QN_ENGINE && servers->adapter_slots == 0) {
        return qn_problem_set(problem, QN_ENGINE_WITHOUT_SLOTS, group,
                              "adapter_slots",
                              "an engine without adapter slots cannot run any "
                              "adapter; use 1 or more");
    }
    return _qn_check_server_zones(answers, servers, group, problem);
}

static bool
_qn_has_servers(const qn_answers *answers, const char *zone)
{
    GPtrArray *list = answers->groups[QN_GROUP_SERVERS];
    for (uint32_t i = 0; i < list->len; i++) {
        const char *const *zones = (const char *const *)qn_query_zones(
            answers, g_ptr_array_index(list, i));
        if (g_strv_contains(zones, zone)) {
            return true;
        }
    }
    return false;
}

static bool
_qn_check_servers(const qn_answers *answers, qn_problem *problem)
{
    GPtrArray *list = answers->groups[QN_GROUP_SERVERS];
    if (list->len == 0) {
        return qn_problem_set(
            problem, QN_NOTHING_DESCRIBED, "servers NAME", NULL,
            "no servers are described; at least one group is required");
    }
    for (uint32_t i = 0; i < list->len; i++) {
        if (!_qn_check_server_group(answers, g_ptr_array_index(list, i),
                                    problem)) {
            return false;
        }
    }
    for (char **zone = answers->deployment.zones; *zone; zone++) {
        if (!_qn_has_servers(answers, *zone)) {
            return qn_problem_set(
                problem, QN_ZONE_WITHOUT_SERVER, "instances", "zones",
                "zone %s has no servers; remove the zone, or "
                "add it to the zones of a [servers NAME]",
                *zone);
        }
    }
    return true;
}

/* -- private: operations -------------------------------------------------- */

/* Returns the lowest known tokens_per_s of the engines; 0 if none is known.
   Sets engine to whether there is any engine. */
static uint32_t
_qn_slowest_tokens_per_s(const qn_answers *answers, bool *engine)
{
    GPtrArray *list = answers->groups[QN_GROUP_SERVERS];
    uint32_t slowest = 0;
    *engine = false;
    for (uint32_t i = 0; i < list->len; i++) {
        const qn_server_group *servers = g_ptr_array_index(list, i);
        if (servers->kind != QN_ENGINE) {
            continue;
        }
        *engine = true;
        uint32_t speed = servers->tokens_per_s;
        if (speed && (!slowest || speed < slowest)) {
            slowest = speed;
        }
    }
    return slowest;
}

static bool
_qn_check_deadline(const qn_answers *answers, const qn_operation *operation,
                   const char *group, uint32_t slowest, qn_problem *problem)
{
    const qn_deployment *deployment = &answers->deployment;
    uint32_t deadline_ms = operation->deadline_ms;
    if (deadline_ms <= deployment->load_ms) {
        return qn_problem_set(
            problem, QN_DEADLINE_BELOW_LOAD, group, "late_after_ms",
            "one adapter load alone takes %u ms; use a larger value",
            deployment->load_ms);
    }
    if (deadline_ms < deployment->first_token_ms) {
        return qn_problem_set(
            problem, QN_DEADLINE_BELOW_FIRST_TOKEN, group, "late_after_ms",
            "the first token may take %u ms; use that or more",
            deployment->first_token_ms);
    }
    uint64_t longest_ms =
        slowest ? (uint64_t)operation->max_tokens * MS_PER_S / slowest : 0;
    if (longest_ms > deadline_ms) {
        return qn_problem_set(
            problem, QN_DEADLINE_BELOW_TOKENS, group, "late_after_ms",
            "%u tokens take %" G_GUINT64_FORMAT
            " ms at %u tokens/s; use that or more, or longest_tokens = "
            "%" G_GUINT64_FORMAT,
            operation->max_tokens, longest_ms, slowest,
            (uint64_t)deadline_ms * slowest / MS_PER_S);
    }
    return true;
}

static bool
_qn_check_draft(const qn_answers *answers, const qn_operation *operation,
                const char *group, qn_problem *problem)
{
    bool engine = false;
    uint32_t slowest = _qn_slowest_tokens_per_s(answers, &engine);
    if (!engine) {
        return qn_problem_set(
            problem, QN_DRAFTS_WITHOUT_ENGINE, group, "kind",
            "no [servers NAME] has kind = engine; a draft requires one");
    }
    if (operation->may_repeat == QN_NO) {
        return qn_problem_set(problem, QN_DRAFT_NOT_REPEATABLE, group,
                              "may_repeat",
                              "a draft changes nothing, so use yes; for work "
                              "that changes something, use kind = call");
    }
    return _qn_check_deadline(answers, operation, group, slowest, problem);
}

static bool
_qn_check_call(const qn_answers *answers, const qn_operation *operation,
               const char *group, qn_problem *problem)
{
    for (char **name = operation->servers; *name; name++) {
        const qn_server_group *servers = qn_query_server_group(answers, *name);
        if (!servers || servers->kind != QN_SERVICE) {
            return qn_problem_set(
                problem, QN_SERVERS_UNKNOWN, group, "servers",
                "%s is not a group of services; use the name of a [servers "
                "NAME] with kind = service",
                *name);
        }
    }
    GPtrArray *list = answers->groups[QN_GROUP_SERVERS];
    for (uint32_t i = 0; i < list->len; i++) {
        const qn_server_group *servers = g_ptr_array_index(list, i);
        if (servers->kind == QN_SERVICE) {
            return true;
        }
    }
    return qn_problem_set(
        problem, QN_CALLS_WITHOUT_SERVICE, group, "kind",
        "no [servers NAME] has kind = service; a call requires one");
}

static bool
_qn_check_operations(const qn_answers *answers, qn_problem *problem)
{
    GPtrArray *list = answers->groups[QN_GROUP_OPERATIONS];
    if (list->len == 0) {
        return qn_problem_set(
            problem, QN_NOTHING_DESCRIBED, "operation NAME", NULL,
            "no operations are described; at least one is required");
    }
    for (uint32_t i = 0; i < list->len; i++) {
        const qn_operation *operation = g_ptr_array_index(list, i);
        g_autofree char *group =
            _qn_group_name(QN_GROUP_OPERATIONS, operation->name);
        bool good = operation->kind == QN_DRAFT
                        ? _qn_check_draft(answers, operation, group, problem)
                        : _qn_check_call(answers, operation, group, problem);
        if (!good) {
            return false;
        }
    }
    return true;
}

/* -- private: adapters ---------------------------------------------------- */

static bool
_qn_has_team(const qn_answers *answers, const char *name)
{
    GPtrArray *list = answers->groups[QN_GROUP_TEAMS];
    for (uint32_t i = 0; i < list->len; i++) {
        const qn_team *team = g_ptr_array_index(list, i);
        if (strcmp(team->name, name) == 0) {
            return true;
        }
    }
    return false;
}

static bool
_qn_check_adapter_group(const qn_answers *answers,
                        const qn_adapter_group *adapters, const char *group,
                        qn_problem *problem)
{
    if (!_qn_has_team(answers, adapters->team)) {
        return qn_problem_set(problem, QN_TEAM_UNKNOWN, group, "team",
                              "there is no [team %s]; use the name of a team",
                              adapters->team);
    }
    if (!dc_query_is_valid_name(adapters->prefix)) {
        return qn_problem_set(
            problem, QN_NAME_UNUSABLE, group, "prefix",
            "the prefix is not valid; allowed are A-Z a-z 0-9 . _ -");
    }
    if (adapters->always_warm > adapters->count) {
        return qn_problem_set(problem, QN_WARM_OVER_COUNT, group,
                              "always_warm",
                              "there are only %u adapters; use up to %u",
                              adapters->count, adapters->count);
    }
    return true;
}

static uint64_t
_qn_adapter_slots(const qn_answers *answers)
{
    GPtrArray *list = answers->groups[QN_GROUP_SERVERS];
    uint64_t slots = 0;
    for (uint32_t i = 0; i < list->len; i++) {
        const qn_server_group *servers = g_ptr_array_index(list, i);
        if (servers->kind == QN_ENGINE) {
            slots += (uint64_t)servers->count * servers->adapter_slots;
        }
    }
    return slots;
}

static bool
_qn_check_adapters(const qn_answers *answers, qn_problem *problem)
{
    GPtrArray *list = answers->groups[QN_GROUP_ADAPTERS];
    uint64_t left = _qn_adapter_slots(answers);
    for (uint32_t i = 0; i < list->len; i++) {
        const qn_adapter_group *adapters = g_ptr_array_index(list, i);
        g_autofree char *group =
            _qn_group_name(QN_GROUP_ADAPTERS, adapters->name);
        if (!_qn_check_adapter_group(answers, adapters, group, problem)) {
            return false;
        }
        if (adapters->always_warm > left) {
            return qn_problem_set(problem, QN_WARM_OVER_SLOTS, group,
                                  "always_warm",
                                  "the engines have %" G_GUINT64_FORMAT
                                  " adapter slots left; use up to that number",
                                  left);
        }
        left -= adapters->always_warm;
    }
    return true;
}

/* -- public: checks, in the order of the questions ------------------------ */

bool
qn_answers_check(const qn_answers *answers, qn_problem *problem)
{
    return _qn_check_zones(answers, problem) &&
           _qn_check_servers(answers, problem) &&
           _qn_check_operations(answers, problem) &&
           _qn_check_adapters(answers, problem);
}
