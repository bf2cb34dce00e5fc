/*
 * fault_gate.h: fault injection for all requests of a stand-in (prefix gt_).
 *
 * Holds the faults that were ordered, decides for each request whether it is
 * admitted, refused or left without an answer, and for each answer whether it
 * is sent, delayed or lost. shell.h lists the orders.
 *
 *     gt_gate *gate = gt_create();
 *     gt_apply_order(gate, "down", body);
 *     switch (gt_admit(gate, socket, name, zone)) { ... }
 *
 * Limits: one thread; a connection is identified by its GSocket.
 */
#ifndef LACEWING_STANDIN_FAULT_GATE_H
#define LACEWING_STANDIN_FAULT_GATE_H

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum gt_verdict {
    GT_VERDICT_DEFAULT = 0, /* admit the request */
    GT_REFUSE,              /* answer with 503 and don't process it */
    GT_SILENT,              /* neither process nor answer it */
    GT_VERDICT_NUM
} gt_verdict;

typedef struct gt_gate gt_gate;

gt_gate *gt_create(void);
void gt_destroy(gt_gate *gate);

/* Applies an order; returns false if it is not one of this module. */
bool gt_apply_order(gt_gate *gate, const char *order, JsonObject *body);
/* Decides on a request; name and zone are the caller's, NULL if unknown. */
gt_verdict gt_admit(gt_gate *gate, GSocket *socket, const char *name,
                    const char *zone);
/* Returns true if this answer has to be lost, and counts it as lost. */
bool gt_consume_lost_answer(gt_gate *gate);

/* queries */
/* Delay before each answer; 0 if none. */
uint32_t gt_query_answer_delay_ms(const gt_gate *gate);
/* True if the connection carried a request before "silent" was ordered. */
bool gt_is_silent(const gt_gate *gate, GSocket *socket);

#endif
