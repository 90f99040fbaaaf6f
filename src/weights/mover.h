/*
 * Inside of the mover: its homes and the orders to them.
 */
#ifndef KWB_MOVER_H
#define KWB_MOVER_H

#include "kwb_node.h"

/* mover.c */
struct kwb_upstream *mover_listed(
    const struct kwb_mover *mover, const char *id); /* or NULL */
void mover_home_apply(struct kwb_mover *mover,
    const struct kwb_mover_upstream *home); /* into the registry */
void mover_home_write(
    struct kwb_mover *mover); /* tells all nodes of changed homes */

void mover_look_soon(
    struct kwb_mover *mover); /* one look for answers that come together */

/* mover_look.c */
/* What one look at all homes found; kept up to date as orders go out. */
struct mover_look {
	struct kwb_load_input models[KWB_MODELS_MAX]; /* as mover->versions */
	uint32_t loading;			      /* all of them */
	uint32_t upstreams;
};

void mover_look_at(const struct kwb_mover *mover, struct mover_look *look);
uint32_t mover_loading_max(
    const struct mover_look *look); /* loads at once, of all homes */
int mover_version_index(
    const struct kwb_mover *mover, const char *model); /* or -1 */

/* mover_order.c */
void mover_exchange_close(struct kwb_mover_upstream *home);
void mover_report_start(
    struct kwb_mover_upstream *home, const struct kwb_upstream *upstream);
void mover_order_start(struct kwb_mover_upstream *home,
    const struct kwb_upstream *upstream, uint64_t version);

#endif
