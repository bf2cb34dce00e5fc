/*
 * adapters.h: life cycle of adapters (prefix ad_).
 *
 * A destroyed adapter stays in the pool until its last request has ended and
 * its last copy is gone. It is no longer found by its tag.
 */
#ifndef LACEWING_DECISIONS_ADAPTERS_H
#define LACEWING_DECISIONS_ADAPTERS_H

#include "state.h"

/* commands */
/* Returns NULL if the pool is full. */
dp_adapter *ad_make(dp_policy *policy, const lwd_adapter_desc *desc);
/* Refuses the adapter's pending requests and orders the eviction of its idle
   copies. */
void ad_destroy(dp_policy *policy, dp_adapter *adapter);
/* Called when a copy has left a server. */
void ad_on_copy_removed(dp_policy *policy, dp_adapter *adapter);
/* Called when the last use of a copy has ended. */
void ad_on_copy_idle(dp_policy *policy, dp_copy *copy);
/* Called when one of the adapter's requests has ended. */
void ad_on_request_ended(dp_policy *policy, dp_adapter *adapter);

/* queries */
/* Returns the number of resident copies on usable own servers. */
uint32_t ad_query_usable_copies(const dp_adapter *adapter);
/* Returns the adapter, or NULL if none that is not destroyed has the tag. */
dp_adapter *ad_query_by_tag(const dp_policy *policy, uint64_t tag);

#endif
