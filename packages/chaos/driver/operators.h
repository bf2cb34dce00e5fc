/*
 * operators.h: operators that change the configuration concurrently, and a
 * reader of the version in force at each daemon (prefix op_).
 *
 * Two operators change the same setting through different daemons. Each change
 * expects the version that the operator read before; if its answer is lost,
 * the operator queries the outcome of the change. The reader polls every
 * daemon and records its version in force while the daemon is ready.
 *
 *     op_operators *operators = op_start(fleet, &record);
 *     op_stop(operators);
 *     op_finish(operators);
 */
#ifndef LACEWING_CHAOS_OPERATORS_H
#define LACEWING_CHAOS_OPERATORS_H

#include "fleet.h"
#include "record.h"

/* Key of the operators; the configuration needs a team that has it. */
#define OP_KEY "operator-key"

typedef struct op_operators op_operators;

op_operators *op_start(hn_fleet *fleet, rc_record *record);
/* Stops and joins the threads. An operator whose answer was lost first queries
   the outcome of its change. */
void op_stop(op_operators *operators);
/* Waits until every daemon has the newest accepted version, or a timeout,
   records the version of each daemon as HK_FINAL, and frees operators. */
void op_finish(op_operators *operators);

#endif
