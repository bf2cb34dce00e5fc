/*
 * gate.h: orders to fail that hold for every call (prefix gt_).
 *
 * Says of each call whether it is let in, refused or met with silence, and
 * of each answer whether it is sent, late or lost.
 *
 *     gt_gate *gate = gt_create();
 *     gt_order(gate, "down", body);
 *     switch (gt_admit(gate, connection, name, zone)) { ... }
 *
 * Limits: one thread; connections are told apart by their GSocket.
 */
#ifndef LACEWING_STANDIN_GATE_H
#define LACEWING_STANDIN_GATE_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum gt_verdict {
    GT_VERDICT_DEFAULT = 0, /* let in */
    GT_REFUSE,              /* 503, no effect */
    GT_SILENT,              /* no effect, no answer */
    GT_VERDICT_NUM
} gt_verdict;

typedef struct gt_gate gt_gate;

gt_gate *gt_create(void);
void gt_destroy(gt_gate *gate);

/* Carries out an order; false when it is not one of the gate's. */
bool gt_order(gt_gate *gate, const char *order, JsonObject *body);
/* name and zone of the caller; NULL when not known. */
gt_verdict gt_admit(gt_gate *gate, GSocket *socket, const char *name,
                    const char *zone);
/* Takes one of the answers that are to be lost. */
bool gt_take_lost(gt_gate *gate);

/* queries */
uint32_t gt_query_late_ms(const gt_gate *gate);
bool gt_is_silent(const gt_gate *gate, GSocket *socket);

#endif
