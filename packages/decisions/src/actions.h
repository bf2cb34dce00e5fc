/*
 * actions.h: the queue of actions not yet taken out (prefix ac_).
 *
 * Sized at creation. Whoever starts new work asks ac_query_has_room() first;
 * the rest of the queue is kept for what must not be lost, such as refusals
 * and cancels.
 */
#ifndef LACEWING_DECISIONS_ACTIONS_H
#define LACEWING_DECISIONS_ACTIONS_H

#include "state.h"

/* commands */
void ac_send(dp_policy *policy, const dp_attempt *attempt, uint32_t priority);
void ac_forward(dp_policy *policy, const dp_request *request);
void ac_cancel_forward(dp_policy *policy, const dp_request *request);
/* retry_after_ms: when the caller may come back. */
void ac_refuse(dp_policy *policy, const dp_request *request, er_code reason,
               uint32_t retry_after_ms, bool ran);
/* LWD_ACTION_CANCEL or LWD_ACTION_PAUSE. */
void ac_stop(dp_policy *policy, const dp_attempt *attempt,
             lwd_action_type type);
/* LWD_ACTION_LOAD or LWD_ACTION_EVICT. */
void ac_order(dp_policy *policy, const dp_copy *copy, lwd_action_type type);
void ac_summary(dp_policy *policy, const dp_server *server);
void ac_suspect(dp_policy *policy, uint64_t fingerprint, uint32_t deaths);
/* Takes out the oldest; false when there is none. */
bool ac_next(dp_policy *policy, lwd_action *action);

/* queries */
bool ac_query_has_room(const dp_policy *policy);

#endif
