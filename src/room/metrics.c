/*
 * Metrics of the room by rank and by workspace. The number of labels is
 * bounded; what has none of its own is counted together.
 */
#include "kwb_room.h"

static void
ranks_print(const struct kwb_room *room, struct kwb_buf *out)
{
	uint32_t i;

	kwb_buf_printf(out, "# TYPE kwb_room_rank_wait_seconds summary\n");
	for (i = 0; i < KWB_ROOM_RANKS_MAX; i++)
		kwb_buf_printf(out,
		    "kwb_room_rank_wait_seconds_sum{rank=\"%u\"} %.3f\n"
		    "kwb_room_rank_wait_seconds_count{rank=\"%u\"} %llu\n",
		    i, (double)room->ranks[i].wait_ns / 1e9, i,
		    (unsigned long long)room->ranks[i].started);
}

void
kwb_room_print(const struct kwb_room *room, struct kwb_buf *out)
{
	uint64_t rest = 0;
	uint32_t i;

	if (!room->is_enabled)
		return;
	ranks_print(room, out);
	kwb_buf_printf(out, "# TYPE kwb_room_started_total counter\n");
	for (i = 0; i < room->shares.count; i++) {
		const struct kwb_room_share *share = &room->shares.entries[i];

		if (i == 0 || i > KWB_ROOM_LABELS_MAX)
			rest += share->started;
		else
			kwb_buf_printf(out,
			    "kwb_room_started_total{workspace=\"%s\"} %llu\n",
			    share->workspace,
			    (unsigned long long)share->started);
	}
	kwb_buf_printf(out, "kwb_room_started_total{workspace=\"\"} %llu\n",
	    (unsigned long long)rest);
}
