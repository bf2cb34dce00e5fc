/*
 * forwards.h: drafts that other instances handed to this one, and ours that
 * were handed to them (prefix fw_).
 *
 * Turns the scheduler's forwards into messages and messages into drafts. A
 * draft taken in has a sink that sends its pieces and its end back over the
 * links.
 *
 *     fw_forwards *forwards = fw_create(scheduler, members);
 *     fw_take_message(forwards, peer, envelope);
 *
 * Limits: one main context; the sender of pieces stops reading its engine
 * when FW_WINDOW_TOKENS were sent without a credit.
 */
#ifndef LACEWING_FORWARDS_H
#define LACEWING_FORWARDS_H

#include "members.h"
#include "scheduler.h"

#define FW_WINDOW_TOKENS 512

typedef struct fw_forwards fw_forwards;

fw_forwards *fw_create(sc_scheduler *scheduler, mm_members *members);
void fw_destroy(fw_forwards *forwards);

/* Takes Forward, Piece, Final, Cancel and Credit; false: another kind. */
bool fw_take_message(fw_forwards *forwards, const pe_peer *peer,
                     const Lacewing__Envelope *envelope);
/* The link to an instance is lost: what it handed here is cancelled. */
void fw_take_lost(fw_forwards *forwards, const char *instance);

/* From the scheduler (sc_out). */
bool fw_send(fw_forwards *forwards, const sc_forward *forward);
void fw_send_cancel(fw_forwards *forwards, uint64_t draft, uint32_t attempt,
                    const char *instance);
void fw_send_credit(fw_forwards *forwards, uint64_t draft, uint32_t attempt,
                    const char *instance, uint32_t tokens);

/* queries */
/* Drafts in flight here for other instances. */
uint32_t fw_query_open(const fw_forwards *forwards);

#endif
