#include "config_task.h"

#include "lacewing/counter.h"
#include "lacewing/log.h"
#include <gio/gio.h>
#include <inttypes.h>
#include <string.h>

struct cf_task {
    cc_machine *chain;
    tm_service *timers;
    tb_table *table;
    pf_objects *objects;
    wk_wakeup wakeup;
    GCancellable *cancellable; /* cancelled by cf_destroy(); calls of the
                                  object store hold a reference */
    dc_config *config;
    const cf_callbacks *callbacks;
    void *user_data;
    GHashTable *submits; /* tag -> _cf_pending_submit */
    uint64_t next_tag;
    bool executing; /* a callback of an action may feed further events */
};

typedef struct _cf_pending_submit {
    uint64_t tag;
    cf_submitted_call call;
    void *user_data;
} _cf_pending_submit;

/* A call of the object store in flight. */
typedef struct _cf_object_call {
    cf_task *task;
    GCancellable *cancellable;
    uint64_t number;
} _cf_object_call;

static void _cf_execute_actions(cf_task *task);

static uint64_t
_cf_now_us(const cf_task *task)
{
    return tm_query_now_us(task->timers);
}

/* -- private: versions ---------------------------------------------------- */

static void
_cf_activate(cf_task *task, dc_config *next, uint64_t version)
{
    g_autoptr(dc_config) previous = task->config;
    task->config = next;
    g_autofree char *text = g_strdup_printf("%" PRIu64, version);
    lg_write(LG_CONFIG_IN_FORCE, "version", text, NULL);
    ct_set(CT_CONFIG_VERSION, (int64_t)version);
    task->callbacks->changed(next, previous, version, task->user_data);
}

static void
_cf_apply(cf_task *task, const cc_action *action)
{
    g_autoptr(dc_edits) edits = NULL;
    dc_config *next = NULL;
    er_status status = {0};
    er_code code = dc_edits_parse(action->text, &edits, &status);
    if (code == ER_OK) {
        code = dc_apply_edits(task->config, edits, &next, &status);
    }
    if (code != ER_OK) {
        lg_write(LG_CONFIG_REFUSED, "who", action->who ? action->who : "",
                 "why", status.message, NULL);
        return;
    }
    _cf_activate(task, next, action->version);
}

static void
_cf_apply_snapshot(cf_task *task, const cc_action *action)
{
    dc_config *next = NULL;
    er_status status = {0};
    if (dc_parse(action->text, "snapshot", &next, &status) != ER_OK) {
        lg_write(LG_CONFIG_REFUSED, "why", status.message, NULL);
        return;
    }
    _cf_activate(task, next, action->version);
}

static void
_cf_report_submitted(cf_task *task, const cc_action *action)
{
    g_autofree _cf_pending_submit *submit = NULL;
    g_hash_table_steal_extended(task->submits, &action->tag, NULL,
                                (void **)&submit);
    if (submit) {
        submit->call(action->code, action->version, action->text, action->who,
                     submit->user_data);
    }
}

/* -- private: the object store -------------------------------------------- */

static void
_cf_finish_object_call(_cf_object_call *object, er_code code, const char *text)
{
    if (!g_cancellable_is_cancelled(object->cancellable)) {
        cf_feed(object->task, &(cc_event){.type = CC_EVENT_OBJECT,
                                          .number = object->number,
                                          .code = code,
                                          .text = text});
    }
    g_object_unref(object->cancellable);
    g_free(object);
}

static void
_cf_on_put(const pf_commit_result *result, void *data)
{
    _cf_finish_object_call(data, result->code, NULL);
}

static void
_cf_on_get(const pf_read_result *result, void *data)
{
    g_autofree char *text = NULL;
    if (result->code == ER_OK && result->count && result->rows[0].value) {
        gsize size = 0;
        const char *bytes = g_bytes_get_data(result->rows[0].value, &size);
        text = g_strndup(bytes, size);
    }
    er_code code = result->code;
    if (code == ER_OK && !text) {
        code = ER_NOT_FOUND;
    }
    _cf_finish_object_call(data, code, text);
}

static _cf_object_call *
_cf_create_object_call(cf_task *task, uint64_t number)
{
    _cf_object_call *object = g_new0(_cf_object_call, 1);
    object->task = task;
    object->cancellable = g_object_ref(task->cancellable);
    object->number = number;
    return object;
}

/* -- private: actions ----------------------------------------------------- */

static void
_cf_on_table(const co_table_result *result, void *data)
{
    cf_feed(data, &(cc_event){.type = CC_EVENT_TABLE, .table = result});
}

static void
_cf_provide_snapshot(cf_task *task, uint64_t version)
{
    if (task->config && version == cc_query_version(task->chain)) {
        g_autofree char *text = dc_query_text(task->config);
        cc_provide_snapshot(task->chain, _cf_now_us(task), version, text);
    }
}

static void
_cf_execute_action(cf_task *task, const cc_action *action)
{
    switch (action->type) {
    case CC_ACTION_TABLE:
        tb_call(task->table, &action->table, _cf_on_table, task);
        break;
    case CC_ACTION_APPLY:
        _cf_apply(task, action);
        break;
    case CC_ACTION_APPLY_SNAPSHOT:
        _cf_apply_snapshot(task, action);
        break;
    case CC_ACTION_SUBMIT_RESULT:
        _cf_report_submitted(task, action);
        break;
    case CC_ACTION_FETCH_FROM_PEER:
        task->callbacks->send_fetch(action->instance, action->version,
                                    task->user_data);
        break;
    case CC_ACTION_SEND_TEXT:
        task->callbacks->send_text(action->instance, action->version,
                                   action->snapshot, action->text,
                                   task->user_data);
        break;
    case CC_ACTION_REQUEST_SNAPSHOT:
        _cf_provide_snapshot(task, action->version);
        break;
    case CC_ACTION_PUT_OBJECT: {
        g_autoptr(GBytes) value =
            g_bytes_new(action->text, strlen(action->text));
        pf_objects_put(task->objects, action->key, value, _cf_on_put,
                       _cf_create_object_call(task, action->number));
        break;
    }
    case CC_ACTION_GET_OBJECT:
        pf_objects_get(task->objects, action->key, _cf_on_get,
                       _cf_create_object_call(task, action->number));
        break;
    case CC_ACTION_DEFAULT:
    case CC_ACTION_NUM:
        break;
    }
}

static void
_cf_execute_actions(cf_task *task)
{
    if (task->executing) {
        return;
    }
    task->executing = true;
    cc_action action;
    while (cc_next_action(task->chain, &action)) {
        _cf_execute_action(task, &action);
    }
    task->executing = false;
    wk_set(&task->wakeup, cc_query_wakeup_us(task->chain));
}

static void
_cf_on_tick(uint64_t now_us, void *data)
{
    (void)now_us;
    cf_feed(data, &(cc_event){.type = CC_EVENT_TICK});
}

/* -- public --------------------------------------------------------------- */

cf_task *
cf_create(const cf_desc *desc)
{
    cf_task *task = g_new0(cf_task, 1);
    task->timers = desc->timers;
    task->table = desc->table;
    task->objects = desc->objects;
    task->callbacks = desc->callbacks;
    task->user_data = desc->user_data;
    task->cancellable = g_cancellable_new();
    task->next_tag = 1;
    task->submits =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    task->chain = cc_create(&(cc_desc){.instance = desc->instance,
                                       .seed = g_str_hash(desc->instance)});
    wk_setup(&task->wakeup, desc->timers, _cf_on_tick, task);
    wk_set(&task->wakeup, 0);
    return task;
}

void
cf_destroy(cf_task *task)
{
    if (task) {
        g_cancellable_cancel(task->cancellable);
        g_object_unref(task->cancellable);
        wk_shutdown(&task->wakeup);
        cc_destroy(task->chain);
        g_hash_table_unref(task->submits);
        g_clear_pointer(&task->config, dc_unref);
        g_free(task);
    }
}

void
cf_feed(cf_task *task, const cc_event *event)
{
    cc_feed(task->chain, _cf_now_us(task), event);
    _cf_execute_actions(task);
}

er_code
cf_submit(cf_task *task, const cc_submit_desc *desc, cf_submitted_call call,
          void *user_data)
{
    _cf_pending_submit *submit = g_new0(_cf_pending_submit, 1);
    submit->tag = task->next_tag++;
    submit->call = call;
    submit->user_data = user_data;
    g_hash_table_insert(task->submits, &submit->tag, submit);
    cc_submit_desc tagged = *desc;
    tagged.tag = submit->tag;
    er_code code = cc_submit(task->chain, _cf_now_us(task), &tagged);
    if (code != ER_OK) {
        g_hash_table_remove(task->submits, &tagged.tag);
    }
    _cf_execute_actions(task);
    return code;
}

const dc_config *
cf_query_config(const cf_task *task)
{
    return task->config;
}

uint64_t
cf_query_version(const cf_task *task)
{
    return cc_query_version(task->chain);
}

bool
cf_query_ready(const cf_task *task)
{
    return task->config && cc_query_ready(task->chain);
}

const cc_machine *
cf_query_chain(const cf_task *task)
{
    return task->chain;
}
