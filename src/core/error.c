/*
 * Names of error numbers, as logs and answers show them.
 */
#include <stddef.h>

#include "kwb.h"

static const struct {
	int error;
	const char *name;
} error_names[] = {
    {0, "ok"},
    {KWB_ERR_MEMORY, "out_of_memory"},
    {KWB_ERR_ARGUMENT, "bad_argument"},
    {KWB_ERR_SETTINGS, "bad_settings"},
    {KWB_ERR_SYSTEM, "system_call_failed"},
    {KWB_ERR_WIRE_FRAME, "malformed_frame"},
    {KWB_ERR_WIRE_SIZE, "frame_too_large"},
    {KWB_ERR_WIRE_CLOSED, "link_closed"},
    {KWB_ERR_NET_CONNECT, "no_connection"},
    {KWB_ERR_NET_STALE, "kept_connection_closed"},
    {KWB_ERR_NET_CLOSED, "closed_early"},
    {KWB_ERR_NET_RESET, "connection_reset"},
    {KWB_ERR_NET_TIMEOUT, "no_answer_in_time"},
    {KWB_ERR_NET_MALFORMED, "malformed_http"},
    {KWB_ERR_NET_HEAD_SIZE, "head_too_large"},
    {KWB_ERR_NET_BODY_SIZE, "body_too_large"},
    {KWB_ERR_STORE_CONFLICT, "store_conflict"},
    {KWB_ERR_STORE_REFUSED, "store_refused"},
    {KWB_ERR_STORE_NO_ANSWER, "store_no_answer"},
    {KWB_ERR_STORE_HISTORY_GONE, "store_history_gone"},
    {KWB_ERR_STORE_MISSING, "store_missing"},
    {KWB_ERR_STORE_UNREADABLE, "store_value_unreadable"},
    {KWB_ERR_PLATFORM_UNREACHABLE, "platform_unreachable"},
    {KWB_ERR_PLATFORM_CONFLICT, "platform_conflict"},
    {KWB_ERR_PLATFORM_MISSING, "platform_missing"},
    {KWB_ERR_LISTS_INVALID, "lists_invalid"},
    {KWB_ERR_LISTS_CONFLICT, "lists_conflict"},
    {KWB_ERR_LISTS_NONE, "no_lists_yet"},
    {KWB_ERR_ROUTE_NO_UPSTREAM, "no_upstream"},
    {KWB_ERR_ROUTE_FULL, "all_upstreams_full"},
    {KWB_ERR_CALL_BUSY, "agent_busy"},
    {KWB_ERR_CALL_LEAVING, "agent_leaving"},
    {KWB_ERR_CALL_STALE_LISTS, "stale_lists"},
    {KWB_ERR_CALL_INCARNATION, "other_incarnation"},
    {KWB_ERR_CALL_FENCED, "fenced"},
    {KWB_ERR_CALL_BARRED, "barred"},
    {KWB_ERR_CALL_DEADLINE, "deadline"},
    {KWB_ERR_CALL_UPSTREAM, "upstream_failed"},
    {KWB_ERR_CALL_OLD_WEIGHTS, "weights_too_old"},
    {KWB_ERR_CALL_CANCELLED, "cancelled"},
    {KWB_ERR_CALL_FORGOTTEN, "key_forgotten"},
    {KWB_ERR_WEIGHTS_FENCE_UNKNOWN, "fencing_state_unknown"},
    {KWB_ERR_WEIGHTS_SWAP, "swap_failed"},
};

const char *
kwb_error_name(int error)
{
	size_t i;

	for (i = 0; i < sizeof(error_names) / sizeof(error_names[0]); i++)
		if (error_names[i].error == error)
			return error_names[i].name;
	return "unknown_error";
}
