/*
 * table_calls.h: table calls of the control machines (prefix tb_).
 *
 * Makes the pf_ call that a co_table_call describes and hands the result back
 * with its number. Counts reads, writes and failures, and logs when the table
 * goes and comes back.
 *
 *     tb_call(table, &action.table, on_table, self);
 *
 * Limits: one main context. tb_destroy() drops results still open.
 */
#ifndef LACEWING_TABLE_CALLS_H
#define LACEWING_TABLE_CALLS_H

#include "lacewing/control.h"

typedef struct tb_table tb_table;

typedef void (*tb_result_call)(const co_table_result *result, void *user_data);

/* table: not owned; must outlive it. */
tb_table *tb_create(pf_table *table);
void tb_destroy(tb_table *table);
void tb_call(tb_table *table, const co_table_call *call,
             tb_result_call on_result, void *user_data);

/* queries */
bool tb_query_down(const tb_table *table);

#endif
