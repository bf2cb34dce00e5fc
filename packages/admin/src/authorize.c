/*
 * authorize.c: what a key's role and team allow. An operator may read and edit
 * everything. Other roles may read the groups of their own team and those that
 * belong to no team and hold nothing private (models, operations, tolerances).
 * An editor may also edit adapters and keys of its own team.
 */
#include "internal.h"

#include <string.h>

static bool
_ad_owns_adapter(const ad_call *call, const dc_config *config,
                 const char *name)
{
    const dc_adapter *adapter = dc_query_adapter(config, name);
    return adapter && strcmp(adapter->team, call->actor.team) == 0;
}

bool
ad_may_read(const ad_call *call, dc_kind kind, const char *name)
{
    if (call->actor.role == DC_ROLE_OPERATOR) {
        return true;
    }
    switch (kind) {
    case DC_ADAPTER:
        return _ad_owns_adapter(call, call->config, name);
    case DC_TEAM:
        return strcmp(name, call->actor.team) == 0;
    case DC_MODEL:
    case DC_OPERATION:
    case DC_TOLERANCES:
        return true;
    default:
        return false;
    }
}

/* -- private: edits by role editor ---------------------------------------- */

/* An editor may create, change and remove adapters of its own team, but may
   not set the key "pinned" or move an adapter to or from another team. */
static bool
_ad_may_edit_adapter(const ad_call *call, const dc_config *after,
                     const dc_edit *edit, const char *name)
{
    if (edit->key && strcmp(edit->key, "pinned") == 0) {
        return false;
    }
    bool existed = dc_query_adapter(call->config, name) != NULL;
    bool exists = dc_query_adapter(after, name) != NULL;
    return (!existed || _ad_owns_adapter(call, call->config, name)) &&
           (!exists || _ad_owns_adapter(call, after, name));
}

static uint32_t
_ad_count_operator_keys(const dc_config *config, const char *team)
{
    const dc_team *entry = dc_query_team(config, team);
    uint32_t count = 0;
    for (uint32_t i = 0; entry && i < entry->key_count; i++) {
        count += entry->keys[i].role == DC_ROLE_OPERATOR ? 1 : 0;
    }
    return count;
}

/* An editor may change the keys of its own team only, and only if the team
   has no operator key before and after the change: a key must not give more
   rights than its author has. */
static bool
_ad_may_edit_team(const ad_call *call, const dc_config *after,
                  const dc_edit *edit, const char *name)
{
    if (strcmp(name, call->actor.team) != 0 || !edit->key ||
        strcmp(edit->key, "keys") != 0) {
        return false;
    }
    return _ad_count_operator_keys(call->config, name) == 0 &&
           _ad_count_operator_keys(after, name) == 0;
}

static bool
_ad_may_edit_one(const ad_call *call, const dc_config *after,
                 const dc_edit *edit)
{
    const char *name = NULL;
    switch (dc_query_group_kind(edit->group, &name)) {
    case DC_ADAPTER:
        return _ad_may_edit_adapter(call, after, edit, name);
    case DC_TEAM:
        return _ad_may_edit_team(call, after, edit, name);
    default:
        return false;
    }
}

er_code
ad_may_edit(const ad_call *call, const dc_config *after, const dc_edits *edits,
            er_status *status)
{
    if (call->actor.role == DC_ROLE_OPERATOR) {
        return ER_OK;
    }
    for (uint32_t i = 0; i < dc_edits_query_count(edits); i++) {
        const dc_edit *edit = dc_edits_query_at(edits, i);
        bool allowed = call->actor.role == DC_ROLE_EDITOR &&
                       _ad_may_edit_one(call, after, edit);
        if (!allowed) {
            return er_set(status, ER_FORBIDDEN,
                          "[%s] %s: changing this is not allowed with role %s "
                          "of team %s",
                          edit->group, edit->key ? edit->key : "",
                          dc_query_role_name(call->actor.role),
                          call->actor.team);
        }
    }
    return ER_OK;
}
