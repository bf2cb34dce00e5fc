/*
 * adapters.h: the life of adapters (prefix ad_).
 *
 * A destroyed adapter stays until its last request has ended and its last
 * copy is gone.
 */
#ifndef LACEWING_DECISIONS_ADAPTERS_H
#define LACEWING_DECISIONS_ADAPTERS_H

#include "state.h"

/* commands */
/* NULL when the pool is full. */
dp_adapter *ad_make(dp_policy *policy, const lwd_adapter_desc *desc);
void ad_destroy(dp_policy *policy, dp_adapter *adapter);
/* A copy has left a server. */
void ad_on_copy_gone(dp_policy *policy, dp_adapter *adapter);
/* A copy is not in use any more. */
void ad_on_copy_idle(dp_policy *policy, dp_copy *copy);
/* A request on it has ended. */
void ad_on_request_ended(dp_policy *policy, dp_adapter *adapter);

/* queries */
/* Own copies that can run something now or soon. */
uint32_t ad_query_usable_copies(const dp_adapter *adapter);
dp_adapter *ad_query_by_tag(const dp_policy *policy, uint64_t tag);

#endif
