/*
 * table_calls.h: runs table calls of the control state machines (prefix tb_).
 *
 * Makes the pf_ call that a co_table_call describes and returns the result
 * with the number of the call. Counts reads, writes and failures, and logs
 * when the table becomes unavailable or available again.
 *
 *     tb_call(table, &action.table, on_table, self);
 *
 * Limits: one main context. tb_destroy() discards the results of calls in
 * flight.
 */
#ifndef LACEWING_TABLE_CALLS_H
#define LACEWING_TABLE_CALLS_H

#include "lacewing/control.h"

typedef struct tb_table tb_table;

typedef void (*tb_result_call)(const co_table_result *result, void *user_data);

/* table is not owned and must outlive the returned object. */
tb_table *tb_create(pf_table *table);
void tb_destroy(tb_table *table);
void tb_call(tb_table *table, const co_table_call *call,
             tb_result_call on_result, void *user_data);

/* queries */
/* Whether the last finished call failed, other than by a conflict. */
bool tb_query_down(const tb_table *table);

#endif
