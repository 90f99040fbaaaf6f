/*
 * Internals of the weight updater: its replicas and the orders to them.
 */
#ifndef KWB_MOVER_H
#define KWB_MOVER_H

#include "kwb_node.h"

/* mover.c */
struct kwb_upstream *updater_find_listed(
    const struct kwb_weight_updater *updater,
    const char *id); /* the upstream in the registry, or NULL */
void updater_assignment_apply(struct kwb_weight_updater *updater,
    const struct kwb_replica *replica); /* to the registry, for routing */
/* Writes changed assignments to the store. */
void updater_rows_write(struct kwb_weight_updater *updater);
/* Checks soon what to order; once for answers that arrive together. */
void updater_check_soon(struct kwb_weight_updater *updater);

/* mover_look.c */
/* State of all replicas at one moment; updated as orders are sent. */
struct updater_snapshot {
	/* by index in updater->versions */
	struct kwb_weight_load_input *models;
	uint32_t loading;   /* replicas that load, of all models */
	uint32_t upstreams; /* listed, with a model */
};

/* KWB_ERR_MEMORY on failure, else the caller frees snapshot->models. */
int updater_snapshot_take(const struct kwb_weight_updater *updater,
    struct updater_snapshot *snapshot);
/* Loads allowed at once, of all models. */
uint32_t updater_loads_max(const struct updater_snapshot *snapshot);
int updater_model_index(const struct kwb_weight_updater *updater,
    const char *model); /* in its versions, or -1 */

/* mover_order.c */
void updater_exchange_close(
    struct kwb_replica *replica); /* drops an exchange in progress */
void updater_report_start(struct kwb_replica *replica,
    const struct kwb_upstream *upstream); /* reads its state */
void updater_order_start(struct kwb_replica *replica,
    const struct kwb_upstream *upstream,
    uint64_t version); /* orders a load; nothing without the lease */

#endif
