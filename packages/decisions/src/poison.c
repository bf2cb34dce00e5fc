#include "poison.h"

#include "actions.h"

#define _PS_WAYS 8 /* entries that may hold one fingerprint */

static dp_suspect *
_ps_find_entry(dp_policy *policy, uint64_t fingerprint)
{
    uint64_t first = rd_mix(fingerprint);
    for (uint32_t way = 0; way < _PS_WAYS; way++) {
        dp_suspect *entry = &policy->suspects[(first + way) % DP_SUSPECTS];
        if (entry->fingerprint == fingerprint) {
            return entry;
        }
    }
    return NULL;
}

static const dp_suspect *
_ps_query_entry(const dp_policy *policy, uint64_t fingerprint)
{
    uint64_t first = rd_mix(fingerprint);
    for (uint32_t way = 0; fingerprint && way < _PS_WAYS; way++) {
        const dp_suspect *entry =
            &policy->suspects[(first + way) % DP_SUSPECTS];
        if (entry->fingerprint == fingerprint) {
            return entry;
        }
    }
    return NULL;
}

/* Returns the entry of the fingerprint. If it has none, replaces the entry
   with the fewest deaths among those that may hold it, the oldest first. */
static dp_suspect *
_ps_find_or_replace(dp_policy *policy, uint64_t fingerprint)
{
    dp_suspect *entry = _ps_find_entry(policy, fingerprint);
    if (entry) {
        return entry;
    }
    uint64_t first = rd_mix(fingerprint);
    for (uint32_t way = 0; way < _PS_WAYS; way++) {
        dp_suspect *other = &policy->suspects[(first + way) % DP_SUSPECTS];
        if (!entry || other->deaths < entry->deaths ||
            (other->deaths == entry->deaths &&
             other->seen_us < entry->seen_us)) {
            entry = other;
        }
    }
    *entry = (dp_suspect){.fingerprint = fingerprint};
    return entry;
}

void
ps_note_death(dp_policy *policy, const dp_request *request)
{
    if (request->fingerprint == 0) {
        return;
    }
    dp_suspect *entry = _ps_find_or_replace(policy, request->fingerprint);
    entry->deaths++;
    entry->seen_us = policy->now_us;
    ac_publish_suspect(policy, request->fingerprint, entry->deaths);
}

void
ps_on_peer_report(dp_policy *policy, uint64_t fingerprint, uint32_t deaths)
{
    if (fingerprint == 0 || deaths == 0) {
        return;
    }
    dp_suspect *entry = _ps_find_or_replace(policy, fingerprint);
    /* The peer may have counted deaths that were not reported to here, and the
       other way round. */
    entry->deaths = MAX(entry->deaths + 1, deaths);
    entry->seen_us = policy->now_us;
}

void
ps_note_success(dp_policy *policy, const dp_request *request)
{
    dp_suspect *entry = request->fingerprint
                            ? _ps_find_entry(policy, request->fingerprint)
                            : NULL;
    if (entry && entry->deaths < policy->desc.poison_deaths) {
        *entry = (dp_suspect){0};
    }
}

bool
ps_query_suspect(const dp_policy *policy, uint64_t fingerprint)
{
    const dp_suspect *entry = _ps_query_entry(policy, fingerprint);
    return entry && entry->deaths > 0;
}

bool
ps_query_is_poison(const dp_policy *policy, uint64_t fingerprint)
{
    const dp_suspect *entry = _ps_query_entry(policy, fingerprint);
    return entry && entry->deaths >= policy->desc.poison_deaths;
}
