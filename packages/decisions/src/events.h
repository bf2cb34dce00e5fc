/*
 * events.h: checks each event and dispatches it to its module (prefix ev_).
 */
#ifndef LACEWING_DECISIONS_EVENTS_H
#define LACEWING_DECISIONS_EVENTS_H

#include "state.h"

/* Handles one event; call ti_set_time() first. After ER_STALE or
   ER_INVALID_ID nothing has changed, except that the end of a cancelled
   attempt is recorded. ER_BAD_REQUEST: the event or a field is invalid. */
er_code ev_feed(dp_policy *policy, const lwd_event *event);

#endif
