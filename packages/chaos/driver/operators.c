#include "operators.h"

#include "http.h"
#include "shell.h"

#define _OP_OPERATOR_COUNT 2
#define _OP_CHANGE_INTERVAL_US 700000
#define _OP_POLL_INTERVAL_US 150000
#define _OP_CONVERGE_TIMEOUT_MS 15000
#define _OP_OUTCOME_TRIES 20
#define _OP_REQUEST_TIMEOUT_MS 3000

typedef struct _op_operator {
    op_operators *operators;
    uint32_t number;
    GThread *thread;
} _op_operator;

struct op_operators {
    hn_fleet *fleet;
    rc_record *record;
    _op_operator list[_OP_OPERATOR_COUNT];
    GThread *reader;
    gint stopping;        /* atomic */
    gint newest_accepted; /* version; atomic */
};

/* -- private: requests ---------------------------------------------------- */

/* Sends a request to the admin port of a daemon. Returns the JSON object of
   the answer, or NULL if there is none. */
static JsonNode *
_op_request(const op_operators *operators, const char *daemon,
            const char *path, const char *body, uint32_t *status)
{
    hn_member *member = hn_find(operators->fleet, daemon);
    g_autofree char *url = g_strconcat(hn_query_admin_url(member), path, NULL);
    g_auto(ht_response) answer = {0};
    ht_send_request(&(ht_desc){.url = url,
                               .body = body,
                               .key = OP_KEY,
                               .timeout_ms = _OP_REQUEST_TIMEOUT_MS},
                    &answer);
    *status = answer.status;
    g_autoptr(JsonNode) root = json_from_string(answer.body, NULL);
    bool is_object = root && JSON_NODE_HOLDS_OBJECT(root);
    return is_object ? g_steal_pointer(&root) : NULL;
}

/* Returns the version in force at a daemon, or 0 if the daemon is not ready or
   does not answer. */
static uint64_t
_op_query_version(const op_operators *operators, const char *daemon)
{
    uint32_t status = 0;
    g_autoptr(JsonNode) root =
        _op_request(operators, daemon, "/status", NULL, &status);
    if (!root || status != 200) {
        return 0;
    }
    JsonObject *object = json_node_get_object(root);
    bool ready =
        json_object_get_boolean_member_with_default(object, "ready", FALSE);
    return ready ? (uint64_t)sh_query_int(object, "config_version", 0) : 0;
}

/* -- private: changes ----------------------------------------------------- */

static void
_op_record_accepted(op_operators *operators, uint32_t number, uint64_t version)
{
    g_autofree char *subject = g_strdup_printf("operator-%u", number);
    rc_add(operators->record, &(hk_event){.type = HK_ACCEPTED,
                                          .subject = subject,
                                          .at_us = g_get_real_time(),
                                          .version = version});
    gint newest = g_atomic_int_get(&operators->newest_accepted);
    while ((gint)version > newest &&
           !g_atomic_int_compare_and_exchange(&operators->newest_accepted,
                                              newest, (gint)version)) {
        newest = g_atomic_int_get(&operators->newest_accepted);
    }
}

/* Queries the outcome of a change whose answer was lost, and records the
   change if it was committed. Asks one daemon after another; gives up after
   _OP_OUTCOME_TRIES. */
static void
_op_resolve_change(op_operators *operators, uint32_t number, const char *id,
                   uint64_t expected_version)
{
    g_autofree char *path =
        g_strdup_printf("/admin/v1/changes/%s?expect=%" G_GUINT64_FORMAT, id,
                        expected_version);
    for (uint32_t i = 0; i < _OP_OUTCOME_TRIES; i++) {
        uint32_t status = 0;
        g_autoptr(JsonNode) root = _op_request(
            operators, rc_daemon_names[(number + i) % RC_DAEMON_COUNT], path,
            NULL, &status);
        JsonObject *object = root ? json_node_get_object(root) : NULL;
        const char *outcome =
            object ? sh_query_text(object, "outcome", "") : "";
        if (status == 200 && g_str_equal(outcome, "committed")) {
            _op_record_accepted(operators, number,
                                (uint64_t)sh_query_int(object, "version", 0));
            return;
        }
        if (status == 200 && g_str_equal(outcome, "not_committed")) {
            return;
        }
        g_usleep(_OP_POLL_INTERVAL_US);
    }
}

/* Each change sets limits.stop_ms to another value. */
static void
_op_submit_change(op_operators *operators, uint32_t number,
                  uint32_t change_number)
{
    const char *daemon =
        rc_daemon_names[(number + change_number) % RC_DAEMON_COUNT];
    uint64_t expected_version = _op_query_version(operators, daemon);
    if (!expected_version) {
        return;
    }
    g_autofree char *id =
        g_strdup_printf("operator-%u-%u", number, change_number);
    g_autofree char *body = g_strdup_printf(
        "{\"expect\":%" G_GUINT64_FORMAT ",\"id\":\"%s\",\"note\":\"chaos\","
        "\"edits\":[{\"group\":\"limits\",\"key\":\"stop_ms\","
        "\"value\":\"%u\"}]}",
        expected_version, id,
        600000 + change_number * _OP_OPERATOR_COUNT + number);
    uint32_t status = 0;
    g_autoptr(JsonNode) root =
        _op_request(operators, daemon, "/admin/v1/config", body, &status);
    if (status == 200 && root) {
        JsonObject *object = json_node_get_object(root);
        _op_record_accepted(operators, number,
                            (uint64_t)sh_query_int(object, "version", 0));
    }
    else if (status == 0 || status >= 500) {
        _op_resolve_change(operators, number, id, expected_version);
    }
}

static void *
_op_run_operator(void *data)
{
    _op_operator *self = data;
    uint32_t change_number = 0;
    while (!g_atomic_int_get(&self->operators->stopping)) {
        _op_submit_change(self->operators, self->number, change_number++);
        g_usleep(_OP_CHANGE_INTERVAL_US);
    }
    return NULL;
}

/* -- private: versions ---------------------------------------------------- */

/* Records the version in force as an event of this type. An unknown version
   (0) is recorded only as HK_FINAL. */
static uint64_t
_op_record_version(op_operators *operators, const char *daemon, hk_type type)
{
    uint64_t version = _op_query_version(operators, daemon);
    if (version || type == HK_FINAL) {
        rc_add(operators->record, &(hk_event){.type = type,
                                              .subject = daemon,
                                              .at_us = g_get_real_time(),
                                              .version = version});
    }
    return version;
}

static void *
_op_run_reader(void *data)
{
    op_operators *operators = data;
    while (!g_atomic_int_get(&operators->stopping)) {
        for (uint32_t i = 0; i < RC_DAEMON_COUNT; i++) {
            _op_record_version(operators, rc_daemon_names[i], HK_CONFIG);
        }
        g_usleep(_OP_POLL_INTERVAL_US);
    }
    return NULL;
}

/* Whether every daemon has at least the newest accepted version. */
static bool
_op_has_converged(op_operators *operators)
{
    uint64_t newest = (uint64_t)g_atomic_int_get(&operators->newest_accepted);
    for (uint32_t i = 0; i < RC_DAEMON_COUNT; i++) {
        if (_op_query_version(operators, rc_daemon_names[i]) < newest) {
            return false;
        }
    }
    return true;
}

/* -- public --------------------------------------------------------------- */

op_operators *
op_start(hn_fleet *fleet, rc_record *record)
{
    op_operators *operators = g_new0(op_operators, 1);
    operators->fleet = fleet;
    operators->record = record;
    for (uint32_t i = 0; i < _OP_OPERATOR_COUNT; i++) {
        _op_operator *self = &operators->list[i];
        self->operators = operators;
        self->number = i;
        self->thread = g_thread_new("operator", _op_run_operator, self);
    }
    operators->reader = g_thread_new("reader", _op_run_reader, operators);
    return operators;
}

void
op_stop(op_operators *operators)
{
    g_atomic_int_set(&operators->stopping, true);
    for (uint32_t i = 0; i < _OP_OPERATOR_COUNT; i++) {
        g_thread_join(operators->list[i].thread);
    }
    g_thread_join(operators->reader);
}

void
op_finish(op_operators *operators)
{
    int64_t end_us =
        g_get_monotonic_time() + _OP_CONVERGE_TIMEOUT_MS * INT64_C(1000);
    while (!_op_has_converged(operators) && g_get_monotonic_time() < end_us) {
        g_usleep(_OP_POLL_INTERVAL_US);
    }
    for (uint32_t i = 0; i < RC_DAEMON_COUNT; i++) {
        _op_record_version(operators, rc_daemon_names[i], HK_FINAL);
    }
    g_free(operators);
}
