/*
 * forwards.h: forwards drafts between instances (prefix fw_).
 *
 * Turns the scheduler's forwards into messages to other instances, and
 * their messages into drafts of this instance's scheduler. The sink of such an
 * incoming draft sends its tokens and its end back over the link.
 *
 *     fw_forwards *forwards = fw_create(scheduler, members);
 *     fw_receive_message(forwards, peer, envelope);
 *
 * Limits: all calls come from one main context. The sender of tokens stops
 * reading its engine when FW_WINDOW_TOKENS were sent without a credit.
 */
#ifndef LACEWING_FORWARDS_H
#define LACEWING_FORWARDS_H

#include "members.h"
#include "scheduler.h"

#define FW_WINDOW_TOKENS 512 /* sent without a credit */

typedef struct fw_forwards fw_forwards;

fw_forwards *fw_create(sc_scheduler *scheduler, mm_members *members);
void fw_destroy(fw_forwards *forwards);

/* Handles Forward, Piece, Final, Cancel and Credit; returns false for other
   kinds of messages. */
bool fw_receive_message(fw_forwards *forwards, const pe_peer *peer,
                        const Lacewing__Envelope *envelope);
/* Cancels the drafts of an instance whose link is lost. */
void fw_handle_link_lost(fw_forwards *forwards, const char *instance);

/* Implement members of sc_callbacks. fw_send() returns false when there is no
   link to the instance. */
bool fw_send(fw_forwards *forwards, const sc_forward *forward);
void fw_send_cancel(fw_forwards *forwards, uint64_t draft, uint32_t attempt,
                    const char *instance);
void fw_send_credit(fw_forwards *forwards, uint64_t draft, uint32_t attempt,
                    const char *instance, uint32_t tokens);

/* Returns the number of drafts in flight here for other instances. */
uint32_t fw_query_open_drafts(const fw_forwards *forwards);

#endif
