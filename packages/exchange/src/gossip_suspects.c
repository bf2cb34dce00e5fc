#include "gossip_private.h"

void
gp_broadcast_crash(gp_peers *peers, const su_crash *crash)
{
    Lacewing__Exchange__Candidate candidates[SU_MAX_CANDIDATES];
    Lacewing__Exchange__Candidate *pointers[SU_MAX_CANDIDATES];
    uint32_t count = MIN(crash->candidate_count, SU_MAX_CANDIDATES);
    for (uint32_t i = 0; i < count; i++) {
        lacewing__exchange__candidate__init(&candidates[i]);
        const su_content *content = &crash->candidates[i].content;
        candidates[i].fingerprint = content->fingerprint;
        candidates[i].n_parts = content->part_count;
        candidates[i].parts = (uint64_t *)content->parts;
        candidates[i].likelihood = crash->candidates[i].likelihood;
        pointers[i] = &candidates[i];
    }
    Lacewing__Exchange__CrashWord word = LACEWING__EXCHANGE__CRASH_WORD__INIT;
    word.server = crash->server;
    word.born_ms = crash->born_ms;
    word.age_ms = gp_age_ms(peers, crash->at_us);
    word.n_candidates = count;
    word.candidates = pointers;
    Lacewing__Exchange__CrashWord *words[] = {&word};
    Lacewing__Exchange__Word message = LACEWING__EXCHANGE__WORD__INIT;
    message.n_crashes = 1;
    message.crashes = words;
    gp_broadcast(peers, &message, false);
}

void
gp_broadcast_block(gp_peers *peers, const su_block *block)
{
    Lacewing__Exchange__BlockWord word = LACEWING__EXCHANGE__BLOCK_WORD__INIT;
    word.item = block->item;
    word.is_part = block->is_part;
    word.crashes = block->crashes;
    word.first_crash_age_ms = gp_age_ms(peers, block->first_crash_us);
    word.age_ms = gp_age_ms(peers, block->since_us);
    Lacewing__Exchange__BlockWord *words[] = {&word};
    Lacewing__Exchange__Word message = LACEWING__EXCHANGE__WORD__INIT;
    message.n_blocks = 1;
    message.blocks = words;
    gp_broadcast(peers, &message, true);
}

void
gp_broadcast_cleared(gp_peers *peers, uint64_t item, uint64_t began_us)
{
    Lacewing__Exchange__ClearedWord word =
        LACEWING__EXCHANGE__CLEARED_WORD__INIT;
    word.item = item;
    word.age_ms = gp_age_ms(peers, began_us);
    Lacewing__Exchange__ClearedWord *words[] = {&word};
    Lacewing__Exchange__Word message = LACEWING__EXCHANGE__WORD__INIT;
    message.n_cleared = 1;
    message.cleared = words;
    gp_broadcast(peers, &message, false);
}

static void
_gp_apply_crash(const gp_peers *peers, const gp_callbacks *callbacks,
                void *user_data, const Lacewing__Exchange__CrashWord *word)
{
    su_candidate candidates[SU_MAX_CANDIDATES];
    uint32_t count = (uint32_t)MIN(word->n_candidates, SU_MAX_CANDIDATES);
    for (uint32_t i = 0; i < count; i++) {
        const Lacewing__Exchange__Candidate *candidate = word->candidates[i];
        su_content *content = &candidates[i].content;
        candidates[i].likelihood = candidate->likelihood;
        content->fingerprint = candidate->fingerprint;
        content->part_count = (uint32_t)MIN(candidate->n_parts, SU_MAX_PARTS);
        for (uint32_t j = 0; j < content->part_count; j++) {
            content->parts[j] = candidate->parts[j];
        }
    }
    callbacks->crash(&(su_crash){.server = word->server,
                                 .born_ms = word->born_ms,
                                 .at_us = gp_local_us(peers, word->age_ms),
                                 .candidates = candidates,
                                 .candidate_count = count},
                     user_data);
}

void
gp_apply_suspects(const gp_peers *peers, const gp_callbacks *callbacks,
                  void *user_data, const Lacewing__Exchange__Word *message)
{
    for (size_t i = 0; i < message->n_crashes; i++) {
        _gp_apply_crash(peers, callbacks, user_data, message->crashes[i]);
    }
    for (size_t i = 0; i < message->n_blocks; i++) {
        const Lacewing__Exchange__BlockWord *word = message->blocks[i];
        su_block block = {
            .item = word->item,
            .is_part = word->is_part,
            .crashes = word->crashes,
            .first_crash_us = gp_local_us(peers, word->first_crash_age_ms),
            .since_us = gp_local_us(peers, word->age_ms),
        };
        callbacks->blocked(&block, user_data);
    }
    for (size_t i = 0; i < message->n_cleared; i++) {
        callbacks->cleared(message->cleared[i]->item,
                           gp_local_us(peers, message->cleared[i]->age_ms),
                           user_data);
    }
}
