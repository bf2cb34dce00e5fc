#include "gossip_private.h"

static void
_gp_fill_limit(const gp_peers *peers, Lacewing__Exchange__LimitWord *word,
               const fl_server *server)
{
    const sl_limit *limit = &server->limit;
    lacewing__exchange__limit_word__init(word);
    word->server = server->id;
    word->born_ms = server->born_ms;
    word->limited = limit->limited;
    word->per_s = limit->per_s;
    word->age_ms = gp_age_ms(peers, limit->limited ? limit->named_us
                                                   : limit->unlimited_us);
}

void
gp_broadcast_limit(gp_peers *peers, const fl_server *server)
{
    Lacewing__Exchange__LimitWord word;
    _gp_fill_limit(peers, &word, server);
    Lacewing__Exchange__LimitWord *words[] = {&word};
    Lacewing__Exchange__Word message = LACEWING__EXCHANGE__WORD__INIT;
    message.n_limits = 1;
    message.limits = words;
    gp_broadcast(peers, &message, false);
}

void
gp_ask_permits(gp_peers *peers, const fl_server *server, const char *receiver,
               const pm_ask *ask)
{
    Lacewing__Exchange__LimitWord limit;
    _gp_fill_limit(peers, &limit, server);
    Lacewing__Exchange__PermitAsk word = LACEWING__EXCHANGE__PERMIT_ASK__INIT;
    word.limit = &limit;
    word.wanted = ask->wanted;
    word.weight = ask->weight;
    word.urgent = ask->urgent;
    word.expired = ask->expired;
    Lacewing__Exchange__PermitAsk *words[] = {&word};
    Lacewing__Exchange__Word message = LACEWING__EXCHANGE__WORD__INIT;
    message.n_permit_asks = 1;
    message.permit_asks = words;
    gp_send_to_instance(peers, &message, receiver);
}

void
gp_grant_permits(gp_peers *peers, const fl_server *server,
                 const char *receiver, uint32_t count)
{
    Lacewing__Exchange__PermitGrant word =
        LACEWING__EXCHANGE__PERMIT_GRANT__INIT;
    word.server = server->id;
    word.born_ms = server->born_ms;
    word.count = count;
    Lacewing__Exchange__PermitGrant *words[] = {&word};
    Lacewing__Exchange__Word message = LACEWING__EXCHANGE__WORD__INIT;
    message.n_permit_grants = 1;
    message.permit_grants = words;
    gp_send_to_instance(peers, &message, receiver);
}

static void
_gp_apply_limit(const gp_peers *peers, const gp_callbacks *callbacks,
                void *user_data, const Lacewing__Exchange__LimitWord *word)
{
    callbacks->server_limit(
        &(fl_peer_limit){.id = word->server,
                         .born_ms = word->born_ms,
                         .limited = word->limited,
                         .per_s = word->per_s,
                         .at_us = gp_local_us(peers, word->age_ms)},
        user_data);
}

void
gp_apply_limits(const gp_peers *peers, const gp_callbacks *callbacks,
                void *user_data, const Lacewing__Exchange__Word *message)
{
    for (size_t i = 0; i < message->n_limits; i++) {
        _gp_apply_limit(peers, callbacks, user_data, message->limits[i]);
    }
    for (size_t i = 0; i < message->n_permit_asks; i++) {
        const Lacewing__Exchange__PermitAsk *word = message->permit_asks[i];
        if (!word->limit) {
            continue;
        }
        _gp_apply_limit(peers, callbacks, user_data, word->limit);
        callbacks->permits_asked(message->instance, word->limit->server,
                                 &(pm_ask){.wanted = word->wanted,
                                           .weight = word->weight,
                                           .urgent = word->urgent,
                                           .expired = word->expired},
                                 user_data);
    }
    for (size_t i = 0; i < message->n_permit_grants; i++) {
        const Lacewing__Exchange__PermitGrant *word =
            message->permit_grants[i];
        callbacks->permits_granted(word->server, word->born_ms, word->count,
                                   user_data);
    }
}
