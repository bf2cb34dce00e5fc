#include "fault_gate.h"

#include "shell.h"

/* A fault with an end, on the monotonic clock; until_us 0: inactive. */
typedef struct _gt_fault {
    int64_t until_us;
    gt_verdict verdict;
} _gt_fault;

struct gt_gate {
    uint64_t epoch; /* incremented by each order "silent" */
    _gt_fault down;
    _gt_fault partition;
    GHashTable *partitioned; /* set of names and zones */
    int64_t answers_to_lose;
    uint32_t answer_delay_ms;
};

/* Key of a connection's epoch: that of the gate at its first request. */
/* clang-format off */
static G_DEFINE_QUARK(lacewing-gate-epoch, _gt_epoch)

/* -- private: orders ------------------------------------------------------ */

static void
_gt_start_fault(_gt_fault *fault, JsonObject *body)
{
    int64_t ms = sh_query_int(body, "ms", 0);
    const char *mode = sh_query_text(body, "mode", "refuse");
    fault->until_us = ms > 0 ? g_get_monotonic_time() + ms * 1000 : INT64_MAX;
    fault->verdict = g_str_equal(mode, "silent") ? GT_SILENT : GT_REFUSE;
}
/* clang-format on */

static bool
_gt_is_active(const _gt_fault *fault)
{
    return g_get_monotonic_time() < fault->until_us;
}

static void
_gt_start_partition(gt_gate *gate, JsonObject *body)
{
    JsonNode *node = json_object_get_member(body, "who");
    JsonArray *who =
        node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) : NULL;
    g_hash_table_remove_all(gate->partitioned);
    for (guint i = 0; who && i < json_array_get_length(who); i++) {
        g_hash_table_add(gate->partitioned,
                         g_strdup(json_array_get_string_element(who, i)));
    }
    _gt_start_fault(&gate->partition, body);
}

static void
_gt_heal(gt_gate *gate)
{
    gate->down.until_us = 0;
    gate->partition.until_us = 0;
    gate->answers_to_lose = 0;
    gate->answer_delay_ms = 0;
}

/* -- public --------------------------------------------------------------- */

gt_gate *
gt_create(void)
{
    gt_gate *gate = g_new0(gt_gate, 1);
    gate->epoch = 1;
    gate->partitioned =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return gate;
}

void
gt_destroy(gt_gate *gate)
{
    g_hash_table_unref(gate->partitioned);
    g_free(gate);
}

bool
gt_apply_order(gt_gate *gate, const char *order, JsonObject *body)
{
    if (g_str_equal(order, "silent")) {
        gate->epoch++;
    }
    else if (g_str_equal(order, "lose_answers")) {
        gate->answers_to_lose = sh_query_int(body, "count", 1);
    }
    else if (g_str_equal(order, "late")) {
        gate->answer_delay_ms = (uint32_t)sh_query_int(body, "ms", 0);
    }
    else if (g_str_equal(order, "down")) {
        _gt_start_fault(&gate->down, body);
    }
    else if (g_str_equal(order, "partition")) {
        _gt_start_partition(gate, body);
    }
    else if (g_str_equal(order, "heal")) {
        _gt_heal(gate);
    }
    else {
        return false;
    }
    return true;
}

gt_verdict
gt_admit(gt_gate *gate, GSocket *socket, const char *name, const char *zone)
{
    if (!g_object_get_qdata(G_OBJECT(socket), _gt_epoch_quark())) {
        g_object_set_qdata(G_OBJECT(socket), _gt_epoch_quark(),
                           GSIZE_TO_POINTER(gate->epoch));
    }
    if (gt_is_silent(gate, socket)) {
        return GT_SILENT;
    }
    if (_gt_is_active(&gate->down)) {
        return gate->down.verdict;
    }
    bool partitioned =
        (name && g_hash_table_contains(gate->partitioned, name)) ||
        (zone && g_hash_table_contains(gate->partitioned, zone));
    if (partitioned && _gt_is_active(&gate->partition)) {
        return gate->partition.verdict;
    }
    return GT_VERDICT_DEFAULT;
}

bool
gt_consume_lost_answer(gt_gate *gate)
{
    if (gate->answers_to_lose <= 0) {
        return false;
    }
    gate->answers_to_lose--;
    return true;
}

uint32_t
gt_query_answer_delay_ms(const gt_gate *gate)
{
    return gate->answer_delay_ms;
}

bool
gt_is_silent(const gt_gate *gate, GSocket *socket)
{
    gsize epoch = GPOINTER_TO_SIZE(
        g_object_get_qdata(G_OBJECT(socket), _gt_epoch_quark()));
    return epoch && epoch != gate->epoch;
}
