/*
 * Why connections are opened: what became of the earlier ones to the same
 * address. New connections take processor time at both ends and a round trip.
 */
#include <string.h>

#include "kwb_node.h"

static const char *const cause_names[KWB_CONN_CAUSES] = {
    [KWB_CONN_FIRST] = "first",
    [KWB_CONN_BUSY] = "busy",
    [KWB_CONN_NOT_REPEATABLE] = "not_repeatable",
    [KWB_CONN_SAME_ID] = "same_id",
    [KWB_CONN_CUT] = "cut",
    [KWB_CONN_CLOSED] = "closed",
    [KWB_CONN_RESET] = "reset",
    [KWB_CONN_IDLE] = "idle",
};

const char *
kwb_conn_cause_name(enum kwb_conn_cause cause)
{
	return cause_names[cause];
}

static uint64_t
hash_of(const struct kwb_address *address)
{
	return kwb_text_hash(address->ip, address->port) | 1;
}

static struct kwb_conn_past *
past_of(struct kwb_conn_history *history, uint64_t hash)
{
	return &history->pasts[(hash >> 1) % KWB_CONN_PASTS_MAX];
}

enum kwb_conn_cause
kwb_conn_history_open(struct kwb_conn_history *history,
    const struct kwb_address *address, bool wants_new)
{
	uint64_t hash = hash_of(address);
	struct kwb_conn_past *past = past_of(history, hash);
	enum kwb_conn_cause cause = past->last_end;

	if (past->hash != hash) {
		past->hash = hash;
		past->open = 0;
		past->peak = 0;
		cause = KWB_CONN_FIRST;
	} else if (wants_new) {
		cause = KWB_CONN_NOT_REPEATABLE;
	} else if (past->open >= past->peak) {
		cause = KWB_CONN_BUSY;
	}
	past->open++;
	if (past->open > past->peak)
		past->peak = past->open;
	return cause;
}

void
kwb_conn_history_end(struct kwb_conn_history *history,
    const struct kwb_address *address, enum kwb_conn_cause why)
{
	uint64_t hash = hash_of(address);
	struct kwb_conn_past *past = past_of(history, hash);

	if (past->hash != hash)
		return;
	if (past->open > 0)
		past->open--;
	past->last_end = why;
}
