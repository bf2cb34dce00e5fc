/* chain.h: one caller's stream over all of its attempts. */
#ifndef CHAIN_H
#define CHAIN_H

#include "standin.h"

/* A request without an adapter, as one in twenty on the sheet. */
#define CHAIN_HEADERS                                                         \
    "Deadline-Ms: 15000\r\nModel: base\r\nToken-Usage: 800,400\r\n"
#define CHAIN_ATTEMPTS 4

typedef struct si_chain {
    int number;
    si_instance *instances[CHAIN_ATTEMPTS]; /* of its attempts */
    si_call calls[CHAIN_ATTEMPTS];
    int count;
    bool taken_up; /* at least one attempt named the last event */
    bool goes_on;  /* such an attempt brought an event */
} si_chain;

/* GThreadFunc. A caller waits 4 s for an event (four times the objective of
   the route), takes its stream up where its connection ended, and waits as
   Retry-After says. */
void *si_run_chain(void *chain);
/* Returns the number of software versions in the events of a chain, and says
   where each begins. */
int si_count_versions(const si_chain *chain, GString *text);
#endif
