#include "draft.h"

static const char *const _dr_ran_names[DR_RAN_NUM] = {
    [DR_RAN_DEFAULT] = "not_run",
    [DR_RAN_NOT_RUN] = "not_run",
    [DR_RAN_RAN] = "ran",
    [DR_RAN_UNKNOWN] = "unknown",
};

const char *
dr_query_ran_name(dr_ran ran)
{
    return _dr_ran_names[ran < DR_RAN_NUM ? ran : DR_RAN_UNKNOWN];
}
