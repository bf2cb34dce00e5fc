#include "support.h"

#include <string.h>

/* -- private: values ------------------------------------------------------ */

uint64_t
_co_hash(const char *a, const char *b, uint64_t number)
{
    g_autoptr(GChecksum) sum = g_checksum_new(G_CHECKSUM_MD5);
    guint8 digest[16];
    gsize length = sizeof(digest);
    g_checksum_update(sum, (const guchar *)a, (gssize)strlen(a) + 1);
    g_checksum_update(sum, (const guchar *)b, (gssize)strlen(b) + 1);
    g_checksum_update(sum, (const guchar *)&number, sizeof(number));
    g_checksum_get_digest(sum, digest, &length);
    uint64_t hash;
    memcpy(&hash, digest, sizeof(hash));
    return hash;
}

uint64_t
_co_jitter_us(GRand *rand, uint64_t value_us, uint32_t jitter_pct)
{
    double fraction = jitter_pct / 100.0;
    double factor = 1.0 + fraction * (2.0 * g_rand_double(rand) - 1.0);
    return (uint64_t)((double)value_us * factor);
}

char *
_co_row_text(const pf_row *row)
{
    if (!row->value) {
        return NULL;
    }
    gsize length = 0;
    const char *data = g_bytes_get_data(row->value, &length);
    return g_strndup(data ? data : "", length);
}

bool
_co_is_table_answer(er_code code)
{
    return code == ER_OK || code == ER_CONFLICT;
}

/* -- private: table calls ------------------------------------------------- */

struct _co_call {
    co_table_call call; /* pointers set by _co_outbox_take_call() */
    GArray *ops;        /* pf_op, keys and values owned */
    char *key;
    char *after;
};

static void
_co_op_clear(void *data)
{
    pf_op *op = data;
    g_free((char *)op->key);
    g_clear_pointer(&op->value, g_bytes_unref);
}

_co_call *
_co_commit_new(uint64_t number)
{
    _co_call *call = g_new0(_co_call, 1);
    call->call.kind = CO_TABLE_COMMIT;
    call->call.number = number;
    call->ops = g_array_new(FALSE, TRUE, sizeof(pf_op));
    g_array_set_clear_func(call->ops, _co_op_clear);
    return call;
}

void
_co_commit_add(_co_call *call, const char *key, uint64_t expect,
               const char *value)
{
    pf_op op = {.key = g_strdup(key), .expect = expect};
    if (value) {
        op.value = g_bytes_new(value, strlen(value));
    }
    g_array_append_val(call->ops, op);
}

size_t
_co_commit_count(const _co_call *call)
{
    return call->ops->len;
}

_co_call *
_co_read_new(uint64_t number, const char *key)
{
    _co_call *call = g_new0(_co_call, 1);
    call->call.kind = CO_TABLE_READ;
    call->call.number = number;
    call->key = g_strdup(key);
    return call;
}

_co_call *
_co_scan_new(uint64_t number, const char *prefix, const char *after,
             uint32_t limit)
{
    _co_call *call = _co_read_new(number, prefix);
    call->call.kind = CO_TABLE_SCAN;
    call->call.limit = limit;
    call->after = g_strdup(after);
    return call;
}

void
_co_call_free(_co_call *call)
{
    if (call) {
        g_clear_pointer(&call->ops, g_array_unref);
        g_free(call->key);
        g_free(call->after);
        g_free(call);
    }
}

/* -- private: outbox ------------------------------------------------------ */

typedef struct _co_outbox_entry {
    void *action;
    _co_call *call;
    GPtrArray *memory; /* owned with the action; NULL while empty */
} _co_outbox_entry;

struct _co_outbox {
    size_t action_bytes;
    GQueue entries;
    _co_outbox_entry *popped; /* owns what the caller's action points to */
};

static void
_co_outbox_entry_free(void *data)
{
    _co_outbox_entry *entry = data;
    if (entry) {
        _co_call_free(entry->call);
        g_clear_pointer(&entry->memory, g_ptr_array_unref);
        g_free(entry->action);
        g_free(entry);
    }
}

_co_outbox *
_co_outbox_new(size_t action_bytes)
{
    _co_outbox *outbox = g_new0(_co_outbox, 1);
    outbox->action_bytes = action_bytes;
    g_queue_init(&outbox->entries);
    return outbox;
}

void
_co_outbox_free(_co_outbox *outbox)
{
    if (outbox) {
        g_queue_clear_full(&outbox->entries, _co_outbox_entry_free);
        _co_outbox_entry_free(outbox->popped);
        g_free(outbox);
    }
}

void *
_co_outbox_push(_co_outbox *outbox)
{
    _co_outbox_entry *entry = g_new0(_co_outbox_entry, 1);
    entry->action = g_malloc0(outbox->action_bytes);
    g_queue_push_tail(&outbox->entries, entry);
    return entry->action;
}

void
_co_outbox_take_memory(_co_outbox *outbox, void *memory)
{
    _co_outbox_entry *entry = g_queue_peek_tail(&outbox->entries);
    if (!entry->memory) {
        entry->memory = g_ptr_array_new_with_free_func(g_free);
    }
    g_ptr_array_add(entry->memory, memory);
}

const char *
_co_outbox_copy_text(_co_outbox *outbox, const char *text)
{
    if (!text) {
        return NULL;
    }
    char *copy = g_strdup(text);
    _co_outbox_take_memory(outbox, copy);
    return copy;
}

const co_table_call *
_co_outbox_take_call(_co_outbox *outbox, _co_call *call)
{
    _co_outbox_entry *entry = g_queue_peek_tail(&outbox->entries);
    entry->call = call;
    if (call->ops) {
        call->call.ops = (const pf_op *)(const void *)call->ops->data;
        call->call.op_count = call->ops->len;
    }
    call->call.key = call->key;
    call->call.after = call->after;
    return &call->call;
}

bool
_co_outbox_pop(_co_outbox *outbox, void *action)
{
    g_clear_pointer(&outbox->popped, _co_outbox_entry_free);
    outbox->popped = g_queue_pop_head(&outbox->entries);
    if (!outbox->popped) {
        return false;
    }
    memcpy(action, outbox->popped->action, outbox->action_bytes);
    return true;
}

uint32_t
_co_outbox_count(const _co_outbox *outbox)
{
    return outbox->entries.length;
}
