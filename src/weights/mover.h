/*
 * Inside of the mover: its replicas and the orders to them.
 */
#ifndef KWB_MOVER_H
#define KWB_MOVER_H

#include "kwb_node.h"

/* mover.c */
struct kwb_upstream *mover_listed(
    const struct kwb_weight_updater *mover, const char *id); /* or NULL */
void mover_home_apply(struct kwb_weight_updater *mover,
    const struct kwb_replica *home); /* into the registry */
void mover_home_write(
    struct kwb_weight_updater *mover); /* tells all nodes of changed replicas */

void mover_look_soon(struct kwb_weight_updater
	*mover); /* one look for answers that come together */

/* mover_look.c */
/* What one look at all replicas found; kept up to date as orders go out. */
struct mover_look {
	struct kwb_weight_load_input
	    models[KWB_MODELS_MAX]; /* as mover->versions */
	uint32_t loading;	    /* all of them */
	uint32_t upstreams;
};

void mover_look_at(
    const struct kwb_weight_updater *mover, struct mover_look *look);
uint32_t mover_loading_max(
    const struct mover_look *look); /* loads at once, of all replicas */
int mover_version_index(
    const struct kwb_weight_updater *mover, const char *model); /* or -1 */

/* mover_order.c */
void mover_exchange_close(struct kwb_replica *home);
void mover_report_start(
    struct kwb_replica *home, const struct kwb_upstream *upstream);
void mover_order_start(struct kwb_replica *home,
    const struct kwb_upstream *upstream, uint64_t version);

#endif
