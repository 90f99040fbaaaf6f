/*
 * How many requests each workspace has started lately. Answers one large
 * workspace among many small ones: a count that fades tells them apart after a
 * burst as well as under steady load.
 */
#include <stdlib.h>
#include <string.h>

#include "kwb_room.h"

#define START_MILLI 1000 /* what one start adds */

uint32_t
kwb_room_shares_index(
    struct kwb_room_shares *shares, const char *workspace, uint64_t now_ns)
{
	struct kwb_room_share *share;
	uint32_t i;

	if (shares->count == 0)
		shares->count = 1;
	for (i = 1; i < shares->count; i++)
		if (strcmp(shares->entries[i].workspace, workspace) == 0)
			return i;
	if (workspace[0] == '\0' || shares->count == KWB_ROOM_SHARES_MAX)
		return 0;
	share = &shares->entries[shares->count];
	if (kwb_text_replace(&share->workspace, workspace) != 0)
		return 0;
	shares->count++;
	share->halved_ns = now_ns;
	return i;
}

void
kwb_room_shares_finish(struct kwb_room_shares *shares)
{
	uint32_t i;

	for (i = 0; i < shares->count; i++)
		free(shares->entries[i].workspace);
	memset(shares, 0, sizeof(*shares));
}

uint32_t
kwb_room_shares_get(
    const struct kwb_room_shares *shares, uint32_t index, uint64_t now_ns)
{
	const struct kwb_room_share *share = &shares->entries[index];
	uint64_t halvings =
	    (now_ns - share->halved_ns) / KWB_ROOM_SHARE_HALF_NS;

	return halvings < 32 ? share->recent_milli >> halvings : 0;
}

void
kwb_room_shares_add(
    struct kwb_room_shares *shares, uint32_t index, uint64_t now_ns)
{
	struct kwb_room_share *share = &shares->entries[index];

	share->recent_milli =
	    kwb_room_shares_get(shares, index, now_ns) + START_MILLI;
	share->halved_ns =
	    now_ns - (now_ns - share->halved_ns) % KWB_ROOM_SHARE_HALF_NS;
	share->started++;
}
