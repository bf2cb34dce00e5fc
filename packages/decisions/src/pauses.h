/*
 * pauses.h: long work that gives way to short work (prefix pa_).
 *
 * When a short request finds all slots of its adapter's servers taken, a long
 * attempt on an engine that can pause may give up its slot and go on later
 * from its tokens. This costs everybody there the prefill of what it has, so
 * it is done only where the waiting that it spares is several times that, and
 * never to work that would be put before the short request again.
 */
#ifndef LACEWING_DECISIONS_PAUSES_H
#define LACEWING_DECISIONS_PAUSES_H

#include "state.h"

/* A short request has become pending. */
void pa_consider(dp_policy *policy, const dp_request *request);

#endif
