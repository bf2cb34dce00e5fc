/*
 * events.h: checks each event and hands it to its module (prefix ev_).
 */
#ifndef LACEWING_DECISIONS_EVENTS_H
#define LACEWING_DECISIONS_EVENTS_H

#include "state.h"

/* Takes in one event; the time has been taken already. ER_STALE and
   ER_INVALID_ID change nothing, ER_BAD_REQUEST is an unknown type. */
er_code ev_feed(dp_policy *policy, const lwd_event *event);

#endif
