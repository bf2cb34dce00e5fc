/*
 * roll.c: sets the shares of requests that go to the versions of an adapter,
 * and adds and removes keys of a team.
 */
#include "internal.h"

#include <string.h>

/* -- private: shares ------------------------------------------------------ */

/* Versions of an adapter with their shares, while these are computed. */
typedef struct ad_shares {
    GPtrArray *versions; /* char * */
    GArray *pct;         /* uint32_t; share of each version in percent */
} ad_shares;

static void
_ad_shares_clear(ad_shares *shares)
{
    g_ptr_array_unref(shares->versions);
    g_array_unref(shares->pct);
}

static ad_shares
_ad_shares_of(const dc_adapter *adapter)
{
    ad_shares shares = {
        .versions = g_ptr_array_new_with_free_func(g_free),
        .pct = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
    };
    for (uint32_t i = 0; i < adapter->version_count; i++) {
        g_ptr_array_add(shares.versions, g_strdup(adapter->versions[i]));
        g_array_append_val(shares.pct, adapter->share_pct[i]);
    }
    return shares;
}

/* Returns the index of a version; appends it with share 0 if it is not
   listed. */
static uint32_t
_ad_shares_find_or_add(ad_shares *shares, const char *version)
{
    for (uint32_t i = 0; i < shares->versions->len; i++) {
        if (strcmp(g_ptr_array_index(shares->versions, i), version) == 0) {
            return i;
        }
    }
    uint32_t no_share = 0;
    g_ptr_array_add(shares->versions, g_strdup(version));
    g_array_append_val(shares->pct, no_share);
    return shares->versions->len - 1;
}

/* Sets the share of one version and scales the others to the rest, in
   proportion. The remainder of the rounding goes to the largest of the
   others. */
static void
_ad_shares_set(ad_shares *shares, uint32_t at, uint32_t share_pct)
{
    uint32_t *pct = (uint32_t *)(void *)shares->pct->data;
    uint32_t others = DC_SHARE_TOTAL_PCT - pct[at];
    uint32_t remaining = DC_SHARE_TOTAL_PCT - share_pct;
    uint32_t assigned = 0;
    uint32_t largest = at > 0 ? at - 1 : shares->pct->len - 1;
    for (uint32_t i = 0; i < shares->pct->len; i++) {
        if (i == at) {
            continue;
        }
        largest = pct[i] > pct[largest] ? i : largest;
    }
    for (uint32_t i = 0; i < shares->pct->len; i++) {
        if (i != at) {
            pct[i] = others ? pct[i] * remaining / others : 0;
            assigned += pct[i];
        }
    }
    pct[at] = share_pct;
    if (largest != at) {
        pct[largest] += remaining - assigned;
    }
}

static dc_edits *
_ad_shares_edits(const ad_shares *shares, const char *name)
{
    GString *versions = g_string_new(NULL);
    GString *pct = g_string_new(NULL);
    for (uint32_t i = 0; i < shares->versions->len; i++) {
        const char *separator = i ? "; " : "";
        g_string_append_printf(
            versions, "%s%s", separator,
            (const char *)g_ptr_array_index(shares->versions, i));
        g_string_append_printf(pct, "%s%u", separator,
                               g_array_index(shares->pct, uint32_t, i));
    }
    g_autofree char *group = g_strdup_printf("adapter %s", name);
    dc_edits *edits = dc_edits_create();
    dc_edits_add(edits, group, "versions", versions->str);
    dc_edits_add(edits, group, "shares", pct->str);
    g_string_free(versions, TRUE);
    g_string_free(pct, TRUE);
    return edits;
}

static const dc_adapter *
_ad_find_adapter(ad_call *call, const char *name)
{
    const dc_adapter *adapter = dc_query_adapter(call->config, name);
    if (adapter && ad_may_read(call, DC_ADAPTER, name)) {
        return adapter;
    }
    er_status status = {0};
    er_set(&status, ER_NOT_FOUND,
           "adapter %s does not exist or is not visible with this key", name);
    ad_change_refuse(call, NULL, &status);
    return NULL;
}

static void
_ad_set_version_share(ad_call *call, const dc_adapter *adapter,
                      const char *version, uint32_t share_pct)
{
    ad_shares shares = _ad_shares_of(adapter);
    uint32_t at = _ad_shares_find_or_add(&shares, version);
    er_status status = {0};
    if (shares.versions->len == 1 && share_pct != DC_SHARE_TOTAL_PCT) {
        er_set(&status, ER_BAD_REQUEST,
               "share_pct: must be 100 for an adapter's only version");
        ad_change_refuse(call, NULL, &status);
    }
    else {
        _ad_shares_set(&shares, at, share_pct);
        ad_change_begin(call, _ad_shares_edits(&shares, adapter->name));
    }
    _ad_shares_clear(&shares);
}

/* Returns the version listed before the last one with a share above 0, or
   NULL. */
static const char *
_ad_previous_version(const dc_adapter *adapter)
{
    uint32_t at = adapter->version_count - 1;
    while (at > 0 && adapter->share_pct[at] == 0) {
        at--;
    }
    return at > 0 ? adapter->versions[at - 1] : NULL;
}

/* -- shared within the package: versions ---------------------------------- */

void
ad_adapter_roll_handle(ad_call *call, const char *name)
{
    const dc_adapter *adapter = _ad_find_adapter(call, name);
    if (!adapter) {
        return;
    }
    const char *version = ad_call_string(call, "version");
    uint64_t share_pct = 0;
    er_status status = {0};
    er_code code =
        ad_call_number(call, "share_pct", UINT64_MAX, &share_pct, &status);
    if (code == ER_OK && (!version || share_pct > DC_SHARE_TOTAL_PCT)) {
        code = er_set(&status, ER_BAD_REQUEST,
                      "version and share_pct (0 to 100) are required");
    }
    if (code != ER_OK) {
        ad_change_refuse(call, NULL, &status);
        return;
    }
    _ad_set_version_share(call, adapter, version, (uint32_t)share_pct);
}

void
ad_adapter_rollback_handle(ad_call *call, const char *name)
{
    const dc_adapter *adapter = _ad_find_adapter(call, name);
    if (!adapter) {
        return;
    }
    const char *requested = ad_call_string(call, "version");
    const char *version =
        requested ? requested : _ad_previous_version(adapter);
    if (!version || !dc_query_adapter_has_version(adapter, version)) {
        er_status status = {0};
        er_set(&status, ER_BAD_REQUEST,
               "version: adapter %s does not have this version, or has no "
               "earlier one",
               name);
        ad_change_refuse(call, NULL, &status);
        return;
    }
    _ad_set_version_share(call, adapter, version, DC_SHARE_TOTAL_PCT);
}

/* -- keys of a team ------------------------------------------------------- */

/* entry is role:hash. */
static bool
_ad_entry_has_hash(const char *entry, const char *hash)
{
    const char *colon = strchr(entry, ':');
    return colon && strcmp(colon + 1, hash) == 0;
}

static char *
_ad_keys_text(const dc_team *team, const char *add, const char *remove)
{
    g_autoptr(GStrvBuilder) keys = g_strv_builder_new();
    for (char **key = team->key_list; *key; key++) {
        if (!remove || !_ad_entry_has_hash(*key, remove)) {
            g_strv_builder_add(keys, *key);
        }
    }
    if (add) {
        g_strv_builder_add(keys, add);
    }
    g_auto(GStrv) list = g_strv_builder_end(keys);
    return g_strjoinv("; ", list);
}

void
ad_team_keys_handle(ad_call *call, const char *name)
{
    const dc_team *team = dc_query_team(call->config, name);
    er_status status = {0};
    if (!team || !ad_may_read(call, DC_TEAM, name)) {
        er_set(&status, ER_NOT_FOUND,
               "team %s does not exist or is not visible with this key", name);
        ad_change_refuse(call, NULL, &status);
        return;
    }
    const char *add = ad_call_string(call, "add");
    const char *remove = ad_call_string(call, "remove");
    if (!add && !remove) {
        er_set(&status, ER_BAD_REQUEST,
               "add (role:hash), remove (hash) or both are required");
        ad_change_refuse(call, NULL, &status);
        return;
    }
    g_autofree char *text = _ad_keys_text(team, add, remove);
    g_autofree char *group = g_strdup_printf("team %s", name);
    dc_edits *edits = dc_edits_create();
    dc_edits_add(edits, group, "keys", text);
    ad_change_begin(call, edits);
}
