/*
 * How many requests each workspace has started lately. Answers one large
 * workspace among many small ones: a count that fades tells them apart after a
 * burst as well as under steady load.
 */
#include <string.h>

#include "kwb_room.h"

#define START_MILLI 1000 /* what one start adds */

static const struct kwb_room_share *
share_find(const struct kwb_room_shares *shares, const char *workspace)
{
	uint32_t i;

	for (i = 1; i < shares->count; i++)
		if (strcmp(shares->entries[i].workspace, workspace) == 0)
			return &shares->entries[i];
	return shares->count > 0 ? &shares->entries[0] : NULL;
}

static uint32_t
share_recent_milli(const struct kwb_room_share *share, uint64_t now_ns)
{
	uint64_t halvings =
	    (now_ns - share->halved_ns) / KWB_ROOM_SHARE_HALF_NS;

	return halvings < 32 ? share->recent_milli >> halvings : 0;
}

void
kwb_room_shares_add(
    struct kwb_room_shares *shares, const char *workspace, uint64_t now_ns)
{
	struct kwb_room_share *share;
	uint64_t past_ns;

	if (shares->count == 0)
		shares->count = 1;
	share = (struct kwb_room_share *)share_find(shares, workspace);
	if (share == &shares->entries[0] && workspace[0] != '\0' &&
	    shares->count < KWB_ROOM_SHARES_MAX) {
		share = &shares->entries[shares->count++];
		kwb_text_copy(
		    share->workspace, sizeof(share->workspace), workspace);
		share->halved_ns = now_ns;
	}
	past_ns = now_ns - share->halved_ns;
	share->recent_milli = share_recent_milli(share, now_ns) + START_MILLI;
	share->halved_ns = now_ns - past_ns % KWB_ROOM_SHARE_HALF_NS;
	share->started++;
}

uint32_t
kwb_room_shares_get(const struct kwb_room_shares *shares, const char *workspace,
    uint64_t now_ns)
{
	const struct kwb_room_share *share = share_find(shares, workspace);

	if (share == NULL ||
	    (share == &shares->entries[0] &&
		shares->count < KWB_ROOM_SHARES_MAX && workspace[0] != '\0'))
		return 0;
	return share_recent_milli(share, now_ns);
}
