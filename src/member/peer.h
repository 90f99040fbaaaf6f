/*
 * What the table of peers and their links share.
 */
#ifndef KWB_MEMBER_PEER_H
#define KWB_MEMBER_PEER_H

#include "../entry/entry.h"

/* The plan's use at the peer, made on first sight; NULL when full. */
struct peer_plan *peer_plan_get(struct peer *peer, const char *plan);

/* Sends the lists to a peer that knows an older revision. */
void peer_send_lists(struct kwb_entry *entry, uint64_t link, uint32_t tag);

#endif
