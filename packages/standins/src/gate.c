#include "gate.h"

#include "shell.h"

/* A fault that ends by itself; until_us 0: not in force. */
typedef struct _gt_fault {
    int64_t until_us;
    gt_verdict verdict;
} _gt_fault;

struct gt_gate {
    uint64_t epoch; /* grows with each order to go silent */
    _gt_fault down;
    _gt_fault partition;
    GHashTable *parted; /* names and zones */
    int64_t lost;       /* answers still to lose */
    uint32_t late_ms;
};

static G_DEFINE_QUARK(lacewing - gate - epoch, _gt_epoch)

    /* -- private: orders
       ------------------------------------------------------ */

    static void _gt_start(_gt_fault *fault, JsonObject *body)
{
    int64_t ms = sh_query_int(body, "ms", 0);
    const char *mode = sh_query_text(body, "mode", "refuse");
    fault->until_us = ms > 0 ? g_get_monotonic_time() + ms * 1000 : INT64_MAX;
    fault->verdict = g_str_equal(mode, "silent") ? GT_SILENT : GT_REFUSE;
}

static bool
_gt_in_force(const _gt_fault *fault)
{
    return g_get_monotonic_time() < fault->until_us;
}

static void
_gt_order_partition(gt_gate *gate, JsonObject *body)
{
    JsonNode *node = json_object_get_member(body, "who");
    JsonArray *who =
        node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) : NULL;
    g_hash_table_remove_all(gate->parted);
    for (guint i = 0; who && i < json_array_get_length(who); i++) {
        g_hash_table_add(gate->parted,
                         g_strdup(json_array_get_string_element(who, i)));
    }
    _gt_start(&gate->partition, body);
}

static void
_gt_order_heal(gt_gate *gate)
{
    gate->down.until_us = 0;
    gate->partition.until_us = 0;
    gate->lost = 0;
    gate->late_ms = 0;
}

/* -- public --------------------------------------------------------------- */

gt_gate *
gt_create(void)
{
    gt_gate *gate = g_new0(gt_gate, 1);
    gate->epoch = 1;
    gate->parted =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return gate;
}

void
gt_destroy(gt_gate *gate)
{
    g_hash_table_unref(gate->parted);
    g_free(gate);
}

bool
gt_order(gt_gate *gate, const char *order, JsonObject *body)
{
    if (g_str_equal(order, "silent")) {
        gate->epoch++;
    }
    else if (g_str_equal(order, "lose_answers")) {
        gate->lost = sh_query_int(body, "count", 1);
    }
    else if (g_str_equal(order, "late")) {
        gate->late_ms = (uint32_t)sh_query_int(body, "ms", 0);
    }
    else if (g_str_equal(order, "down")) {
        _gt_start(&gate->down, body);
    }
    else if (g_str_equal(order, "partition")) {
        _gt_order_partition(gate, body);
    }
    else if (g_str_equal(order, "heal")) {
        _gt_order_heal(gate);
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
    if (_gt_in_force(&gate->down)) {
        return gate->down.verdict;
    }
    bool parted = (name && g_hash_table_contains(gate->parted, name)) ||
                  (zone && g_hash_table_contains(gate->parted, zone));
    if (parted && _gt_in_force(&gate->partition)) {
        return gate->partition.verdict;
    }
    return GT_VERDICT_DEFAULT;
}

bool
gt_take_lost(gt_gate *gate)
{
    if (gate->lost <= 0) {
        return false;
    }
    gate->lost--;
    return true;
}

uint32_t
gt_query_late_ms(const gt_gate *gate)
{
    return gate->late_ms;
}

bool
gt_is_silent(const gt_gate *gate, GSocket *socket)
{
    gsize epoch = GPOINTER_TO_SIZE(
        g_object_get_qdata(G_OBJECT(socket), _gt_epoch_quark()));
    return epoch && epoch != gate->epoch;
}
