/*
 * operators.h: operators that race one another, and a reader of the versions
 * in force (prefix op_).
 *
 * Two operators change one setting through different daemons, each against
 * the version that it saw; a lost answer is asked for later. The reader asks
 * every daemon for the version in force while it is ready.
 *
 *     op_operators *operators = op_start(fleet, &record);
 *     op_stop(operators);
 *     op_read_final(operators);
 */
#ifndef LACEWING_CHAOS_OPERATORS_H
#define LACEWING_CHAOS_OPERATORS_H

#include "fleet.h"
#include "record.h"

#define OP_KEY "operator-key"

typedef struct op_operators op_operators;

op_operators *op_start(hn_fleet *fleet, rc_record *record);
/* Ends the threads after asking for every answer that was lost. */
void op_stop(op_operators *operators);
/* Waits until all daemons agree, records what each says last, and frees. */
void op_read_final(op_operators *operators);

#endif
