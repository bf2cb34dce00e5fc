#include "operators.h"

#include "http.h"
#include "shell.h"

#define _OP_COUNT 2
#define _OP_CHANGE_PAUSE_US 700000
#define _OP_READ_PAUSE_US 150000
#define _OP_AGREE_MS 15000
#define _OP_ASK_TRIES 20
#define _OP_TIMEOUT_MS 3000

typedef struct _op_operator {
    op_operators *all;
    uint32_t number;
    GThread *thread;
} _op_operator;

struct op_operators {
    hn_fleet *fleet;
    rc_record *record;
    _op_operator operators[_OP_COUNT];
    GThread *reader;
    gint stopping;        /* atomic */
    gint newest_accepted; /* atomic */
};

/* -- private: calls ------------------------------------------------------- */

/* The object of an answer; NULL without one. */
static JsonNode *
_op_call(const op_operators *all, const char *daemon, const char *path,
         const char *body, uint32_t *status)
{
    hn_member *member = hn_find(all->fleet, daemon);
    g_autofree char *url = g_strconcat(hn_query_admin_url(member), path, NULL);
    g_auto(ht_response) answer = {0};
    ht_send_request(&(ht_desc){.url = url,
                               .body = body,
                               .key = OP_KEY,
                               .timeout_ms = _OP_TIMEOUT_MS},
                    &answer);
    *status = answer.status;
    g_autoptr(JsonNode) root = json_from_string(answer.body, NULL);
    bool is_object = root && JSON_NODE_HOLDS_OBJECT(root);
    return is_object ? g_steal_pointer(&root) : NULL;
}

/* Version in force at a daemon that is ready; 0: not known. */
static uint64_t
_op_version(const op_operators *all, const char *daemon)
{
    uint32_t status = 0;
    g_autoptr(JsonNode) root = _op_call(all, daemon, "/status", NULL, &status);
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
_op_accepted(op_operators *all, uint32_t number, uint64_t version)
{
    g_autofree char *who = g_strdup_printf("operator-%u", number);
    rc_add(all->record, &(hk_event){.type = HK_ACCEPTED,
                                    .who = who,
                                    .at_us = g_get_real_time(),
                                    .version = version});
    gint seen = g_atomic_int_get(&all->newest_accepted);
    while ((gint)version > seen &&
           !g_atomic_int_compare_and_exchange(&all->newest_accepted, seen,
                                              (gint)version)) {
        seen = g_atomic_int_get(&all->newest_accepted);
    }
}

/* Asks what became of a change whose answer was lost. */
static void
_op_ask(op_operators *all, uint32_t number, const char *id, uint64_t expect)
{
    g_autofree char *path = g_strdup_printf(
        "/admin/v1/changes/%s?expect=%" G_GUINT64_FORMAT, id, expect);
    for (uint32_t i = 0; i < _OP_ASK_TRIES; i++) {
        uint32_t status = 0;
        g_autoptr(JsonNode) root = _op_call(
            all, rc_daemons[(number + i) % RC_DAEMONS], path, NULL, &status);
        JsonObject *object = root ? json_node_get_object(root) : NULL;
        const char *outcome =
            object ? sh_query_text(object, "outcome", "") : "";
        if (status == 200 && g_str_equal(outcome, "committed")) {
            _op_accepted(all, number,
                         (uint64_t)sh_query_int(object, "version", 0));
            return;
        }
        if (status == 200 && g_str_equal(outcome, "not_committed")) {
            return;
        }
        g_usleep(_OP_READ_PAUSE_US);
    }
}

static void
_op_change(op_operators *all, uint32_t number, uint32_t count)
{
    const char *daemon = rc_daemons[(number + count) % RC_DAEMONS];
    uint64_t expect = _op_version(all, daemon);
    if (!expect) {
        return;
    }
    g_autofree char *id = g_strdup_printf("operator-%u-%u", number, count);
    g_autofree char *body = g_strdup_printf(
        "{\"expect\":%" G_GUINT64_FORMAT ",\"id\":\"%s\",\"note\":\"chaos\","
        "\"edits\":[{\"group\":\"limits\",\"key\":\"stop_ms\","
        "\"value\":\"%u\"}]}",
        expect, id, 600000 + count * _OP_COUNT + number);
    uint32_t status = 0;
    g_autoptr(JsonNode) root =
        _op_call(all, daemon, "/admin/v1/config", body, &status);
    if (status == 200 && root) {
        JsonObject *object = json_node_get_object(root);
        _op_accepted(all, number,
                     (uint64_t)sh_query_int(object, "version", 0));
    }
    else if (status == 0 || status >= 500) {
        _op_ask(all, number, id, expect);
    }
}

static void *
_op_run(void *data)
{
    _op_operator *self = data;
    uint32_t count = 0;
    while (!g_atomic_int_get(&self->all->stopping)) {
        _op_change(self->all, self->number, count++);
        g_usleep(_OP_CHANGE_PAUSE_US);
    }
    return NULL;
}

/* -- private: reading ----------------------------------------------------- */

static uint64_t
_op_read(op_operators *all, const char *daemon, hk_type type)
{
    uint64_t version = _op_version(all, daemon);
    if (version || type == HK_FINAL) {
        rc_add(all->record, &(hk_event){.type = type,
                                        .who = daemon,
                                        .at_us = g_get_real_time(),
                                        .version = version});
    }
    return version;
}

static void *
_op_run_reader(void *data)
{
    op_operators *all = data;
    while (!g_atomic_int_get(&all->stopping)) {
        for (uint32_t i = 0; i < RC_DAEMONS; i++) {
            _op_read(all, rc_daemons[i], HK_CONFIG);
        }
        g_usleep(_OP_READ_PAUSE_US);
    }
    return NULL;
}

static bool
_op_agree(op_operators *all)
{
    uint64_t newest = (uint64_t)g_atomic_int_get(&all->newest_accepted);
    for (uint32_t i = 0; i < RC_DAEMONS; i++) {
        if (_op_version(all, rc_daemons[i]) < newest) {
            return false;
        }
    }
    return true;
}

/* -- public --------------------------------------------------------------- */

op_operators *
op_start(hn_fleet *fleet, rc_record *record)
{
    op_operators *all = g_new0(op_operators, 1);
    all->fleet = fleet;
    all->record = record;
    for (uint32_t i = 0; i < _OP_COUNT; i++) {
        _op_operator *self = &all->operators[i];
        self->all = all;
        self->number = i;
        self->thread = g_thread_new("operator", _op_run, self);
    }
    all->reader = g_thread_new("reader", _op_run_reader, all);
    return all;
}

void
op_stop(op_operators *operators)
{
    g_atomic_int_set(&operators->stopping, true);
    for (uint32_t i = 0; i < _OP_COUNT; i++) {
        g_thread_join(operators->operators[i].thread);
    }
    g_thread_join(operators->reader);
}

void
op_read_final(op_operators *operators)
{
    int64_t end_us = g_get_monotonic_time() + _OP_AGREE_MS * INT64_C(1000);
    while (!_op_agree(operators) && g_get_monotonic_time() < end_us) {
        g_usleep(_OP_READ_PAUSE_US);
    }
    for (uint32_t i = 0; i < RC_DAEMONS; i++) {
        _op_read(operators, rc_daemons[i], HK_FINAL);
    }
    g_free(operators);
}
