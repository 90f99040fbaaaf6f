/*
 * Shared by the table of peers and the code of their links.
 */
#ifndef KWB_MEMBER_PEER_H
#define KWB_MEMBER_PEER_H

#include "../entry/entry.h"

/* What a plan uses at the peer, added if missing; NULL if there is no room. */
struct peer_plan *peer_plan_get(struct peer *peer, const char *plan);

/* Sends the lists if the peer at that link has an older revision. */
void peer_send_lists(struct kwb_entry *entry, uint64_t link, uint32_t tag);

#endif
