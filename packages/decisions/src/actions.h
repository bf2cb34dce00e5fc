/*
 * actions.h: the queue of actions not yet taken out (prefix ac_).
 *
 * The queue is sized at creation. Check ac_query_accepts_work() before new
 * work is started: it leaves half of the queue to actions that must not be
 * lost, such as refusals and cancels. An action that finds the queue full is
 * dropped, with ER_POOL_FULL in the status.
 */
#ifndef LACEWING_DECISIONS_ACTIONS_H
#define LACEWING_DECISIONS_ACTIONS_H

#include "state.h"

/* commands */
void ac_send(dp_policy *policy, const dp_attempt *attempt, uint32_t priority);
void ac_forward(dp_policy *policy, const dp_request *request);
void ac_cancel_forward(dp_policy *policy, const dp_request *request);
/* retry_after_ms: delay after which the caller may retry. */
void ac_refuse(dp_policy *policy, const dp_request *request, er_code reason,
               uint32_t retry_after_ms, bool ran);
/* Queues LWD_ACTION_CANCEL or LWD_ACTION_PAUSE. */
void ac_stop_attempt(dp_policy *policy, const dp_attempt *attempt,
                     lwd_action_type type);
/* Queues LWD_ACTION_LOAD or LWD_ACTION_EVICT. */
void ac_load_or_evict(dp_policy *policy, const dp_copy *copy,
                      lwd_action_type type);
void ac_publish_summary(dp_policy *policy, const dp_server *server);
void ac_publish_suspect(dp_policy *policy, uint64_t fingerprint,
                        uint32_t deaths);
/* Takes out the oldest action; returns false when there is none. */
bool ac_next(dp_policy *policy, lwd_action *action);

/* queries */
/* Returns true while less than half of the queue is in use. */
bool ac_query_accepts_work(const dp_policy *policy);

#endif
