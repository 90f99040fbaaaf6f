/*
 * Ownership of batches. The record of a batch names its owner, and an owner
 * writes a heartbeat to a row of its own. A batch whose owner's heartbeat is
 * expired, or that was released, is claimed by a conditional write: the first
 * one wins. Two owners for a moment cost duplicate work, but never a second
 * result of an item.
 */
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"

/* A write in progress that claims, releases or completes a batch. */
struct claim {
	struct kwb_store_call call;
	struct kwb_batches *batches;
	struct kwb_batch_record record;
	bool open;
};

static struct claim claims[KWB_CLAIMS_MAX];

bool
owner_is_self(
    const struct kwb_batches *batches, const struct kwb_batch_record *record)
{
	return strcmp(record->owner, batches->env->settings->node) == 0 &&
	    record->owner_incarnation == batches->env->incarnation;
}

static struct kwb_node_heartbeat *
heartbeat_find(const struct kwb_batches *batches, const char *node)
{
	uint32_t i;

	for (i = 0; i < batches->heartbeats_count; i++)
		if (strcmp(batches->heartbeats[i].node, node) == 0)
			return &batches->heartbeats[i];
	return NULL;
}

/* From a heartbeat's value: "INCARNATION PROCESSOR_MILLI". */
static uint32_t
parse_processor_milli(const char *value)
{
	unsigned processor = 0;

	if (sscanf(value, "%*u %u", &processor) != 1)
		return 0; /* written by an earlier release */
	return processor;
}

static void
heartbeat_update(struct kwb_batches *batches, const char *node,
    uint64_t revision, const char *value)
{
	struct kwb_node_heartbeat *heartbeat = heartbeat_find(batches, node);
	struct kwb_node_heartbeat *heartbeats;

	if (heartbeat == NULL) {
		heartbeats = realloc(batches->heartbeats,
		    (batches->heartbeats_count + 1) * sizeof(*heartbeats));
		if (heartbeats == NULL)
			return;
		batches->heartbeats = heartbeats;
		heartbeat = &heartbeats[batches->heartbeats_count++];
		memset(heartbeat, 0, sizeof(*heartbeat));
		kwb_text_copy(heartbeat->node, sizeof(heartbeat->node), node);
		heartbeat->seen_ns = kwb_boot_now_ns();
		heartbeat->changed_ns = heartbeat->seen_ns;
		heartbeat->revision = revision;
		heartbeat->processor_milli = parse_processor_milli(value);
		return;
	}
	heartbeat->reads++;
	if (heartbeat->revision == revision)
		return;
	heartbeat->revision = revision;
	heartbeat->seen_ns = kwb_boot_now_ns();
	heartbeat->changed_ns = heartbeat->seen_ns;
	heartbeat->changed = true;
	heartbeat->reads = 0;
	heartbeat->processor_milli = parse_processor_milli(value);
}

bool
owner_is_alive(const struct kwb_batches *batches, const char *node)
{
	const struct kwb_node_heartbeat *heartbeat =
	    heartbeat_find(batches, node);

	return heartbeat != NULL &&
	    kwb_heartbeat_is_recent(heartbeat, kwb_boot_now_ns());
}

bool
owner_is_kept(const struct kwb_batches *batches, const char *owner)
{
	const struct kwb_node_heartbeat *heartbeat =
	    heartbeat_find(batches, owner);

	return owner_is_alive(batches, owner) &&
	    kwb_owner_is_kept(heartbeat->processor_milli,
		batches->env->settings->processor_milli);
}

void
owner_note_assignment(
    struct kwb_batches *batches, const struct kwb_batch_record *record)
{
	struct kwb_node_heartbeat *heartbeat =
	    heartbeat_find(batches, record->owner);

	if (heartbeat != NULL)
		kwb_heartbeat_note_assignment(heartbeat, kwb_boot_now_ns());
}

/* Counts only the time in which this node could read the heartbeats. */
static bool
owner_is_expired(struct kwb_batches *batches, const char *node)
{
	const struct kwb_node_heartbeat *heartbeat =
	    heartbeat_find(batches, node);

	if (heartbeat == NULL) {
		heartbeat_update(batches, node, 0, "");
		return false;
	}
	return kwb_heartbeat_is_expired(heartbeat, kwb_boot_now_ns());
}

static void
removal_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	(void)call;
	kwb_log(KWB_LOG_INFO, "own", "event=node_forgotten error=%s",
	    kwb_error_name(answer->error));
}

/* Removes the row of a node that is long gone: each node reads all rows. */
static void
heartbeat_remove_old(struct kwb_batches *batches, const struct kwb_row *row)
{
	static struct kwb_tx tx;
	struct kwb_store *store = batches->env->store;
	const struct kwb_node_heartbeat *heartbeat =
	    heartbeat_find(batches, row->key);

	if (heartbeat == NULL || heartbeat->revision != row->revision ||
	    batches->heartbeat_remove.pending != NULL ||
	    kwb_boot_now_ns() - heartbeat->changed_ns < KWB_OWNER_FORGET_NS)
		return;
	memset(&tx, 0, sizeof(tx));
	kwb_tx_expect(&tx, TABLE_NODES, "", row->key, row->revision);
	kwb_tx_remove(&tx, TABLE_NODES, "", row->key);
	batches->heartbeat_remove.on_done = removal_on_answer;
	batches->heartbeat_remove.context = batches;
	if (store->ops->transact(store, &tx, &batches->heartbeat_remove) != 0)
		kwb_log(KWB_LOG_WARN, "own", "event=node_not_forgotten");
}

static void
heartbeats_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batches *batches = call->context;
	uint32_t i;
	uint32_t k;

	if (answer->error != 0) {
		/* A heartbeat counts as missed only while it could be read. */
		for (i = 0; i < batches->heartbeats_count; i++) {
			batches->heartbeats[i].seen_ns = kwb_boot_now_ns();
			batches->heartbeats[i].reads = 0;
		}
		return;
	}
	for (i = 0; i < batches->heartbeats_count; i++) {
		for (k = 0; k < answer->rows_count; k++)
			if (strcmp(batches->heartbeats[i].node,
				answer->rows[k].key) == 0)
				break;
		if (k == answer->rows_count)
			batches->heartbeats[i].reads++;
	}
	for (k = 0; k < answer->rows_count; k++) {
		heartbeat_update(batches, answer->rows[k].key,
		    answer->rows[k].revision, answer->rows[k].value);
		heartbeat_remove_old(batches, &answer->rows[k]);
	}
}

static void
heartbeat_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batches *batches = call->context;

	if (answer->error != 0)
		batches->heartbeat_ns = 0;
}

static void
heartbeat_write(struct kwb_batches *batches)
{
	static struct kwb_tx tx;
	struct kwb_store *store = batches->env->store;
	char value[48];
	int length = snprintf(value, sizeof(value), "%llu %u",
	    (unsigned long long)batches->env->incarnation,
	    batches->env->settings->processor_milli);

	/* A lost answer must not delay the next heartbeat. */
	kwb_store_cancel(store, &batches->heartbeat);
	memset(&tx, 0, sizeof(tx));
	kwb_tx_put(&tx, TABLE_NODES, "", batches->env->settings->node, value,
	    (size_t)length);
	batches->heartbeat.on_done = heartbeat_on_answer;
	batches->heartbeat.context = batches;
	if (store->ops->transact(store, &tx, &batches->heartbeat) == 0)
		batches->heartbeat_ns = kwb_clock_now_ns();
}

static void
claim_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct claim *claim = call->context;

	claim->open = false;
	kwb_log(KWB_LOG_INFO, "own", "event=%s batch=%s revision=%llu error=%s",
	    answer->error == 0 ? "claimed" : "claim_failed", claim->record.id,
	    (unsigned long long)claim->record.revision,
	    kwb_error_name(answer->error));
	if (answer->error != 0)
		return;
	claim->record.revision = answer->revision;
	records_update(claim->batches, &claim->record);
}

static bool
claim_is_open(const struct kwb_batches *batches, const char *batch)
{
	uint32_t i;

	for (i = 0; i < KWB_CLAIMS_MAX; i++)
		if (claims[i].open && claims[i].batches == batches &&
		    strcmp(claims[i].record.id, batch) == 0)
			return true;
	return false;
}

static void
claim_start(struct kwb_batches *batches, const struct kwb_batch_record *record,
    bool release)
{
	static struct kwb_tx tx;
	struct kwb_store *store = batches->env->store;
	struct claim *claim = NULL;
	struct kwb_buf value;
	uint32_t i;

	for (i = 0; i < KWB_CLAIMS_MAX; i++)
		if (!claims[i].open)
			claim = &claims[i];
	if (claim == NULL || claim_is_open(batches, record->id))
		return;
	kwb_batch_record_finish(&claim->record);
	memset(claim, 0, sizeof(*claim));
	claim->batches = batches;
	if (kwb_batch_record_copy(&claim->record, record) != 0)
		return;
	kwb_text_copy(claim->record.owner, sizeof(claim->record.owner),
	    release ? "" : batches->env->settings->node);
	claim->record.owner_incarnation =
	    release ? 0 : batches->env->incarnation;
	claim->record.fresh = release && record->fresh;
	claim->call.on_done = claim_on_answer;
	claim->call.context = claim;
	kwb_buf_init(&value);
	memset(&tx, 0, sizeof(tx));
	record_add_to_tx(&claim->record, &tx, &value);
	claim->open = store->ops->transact(store, &tx, &claim->call) == 0;
	kwb_buf_finish(&value);
}

/*
 * When this node may claim a batch of another owner: UINT64_MAX while that
 * owner lives. Each node waits for a different time, so that most see the
 * first claim and make none.
 */
static uint64_t
claim_time_ns(struct kwb_batches *batches, struct kwb_batch_record *record)
{
	if (strcmp(record->owner, batches->env->settings->node) == 0)
		return 0; /* owned by an earlier process of this node */
	if (record->owner[0] != '\0' &&
	    !owner_is_expired(batches, record->owner)) {
		record->claim_ns = 0;
		return UINT64_MAX;
	}
	if (record->claim_ns == 0)
		record->claim_ns = kwb_clock_now_ns() +
		    kwb_claim_delay_ns(batches->env->settings->processor_milli,
			batches->fleet_nodes, (uint64_t)random());
	return record->claim_ns;
}

/* Some node has to run the batch. */
static bool
needs_owner(const struct kwb_batch_record *record)
{
	return !record->ended && !record->listed;
}

/* Frees batches that this node no longer owns or that are done. */
static void
close_batches(struct kwb_batches *batches)
{
	struct kwb_batch *batch = TAILQ_FIRST(&batches->running);
	struct kwb_batch *next;
	const struct kwb_batch_record *record;

	for (; batch != NULL; batch = next) {
		next = TAILQ_NEXT(batch, entry);
		record = kwb_batches_find_record(batches, batch->record.id);
		if (record != NULL && needs_owner(record) &&
		    owner_is_self(batches, record) && !batch->closing)
			continue;
		if (batch->closing && batch->record.listed && record != NULL &&
		    needs_owner(record) && owner_is_self(batches, record)) {
			/* Stores that all items have a result. */
			struct kwb_batch_record listed = *record;

			listed.listed = true;
			claim_start(batches, &listed, false);
		}
		kwb_log(KWB_LOG_INFO, "own",
		    "event=closed batch=%s listed=%u items=%u reason=%s",
		    batch->record.id, batch->listed, batch->spec.items_count,
		    record == NULL	       ? "removed"
			: record->ended	       ? "ended"
			: batch->record.listed ? "all_listed"
					       : "other_owner");
		batch_free(batch);
	}
}

void
owner_check_soon(struct kwb_batches *batches)
{
	/* On the loop's next turn: callers may be using a batch. */
	kwb_timer_arm(batches->owner_timer, 0);
}

void
kwb_batches_send_heartbeat(struct kwb_batches *batches)
{
	batches->heartbeat_ns = 0;
	owner_check_soon(batches);
}

/* Repeats a failed read when its time has come, else says when that is. */
static void
retry_load(struct kwb_batch *batch, uint64_t now_ns, uint64_t *next_ns)
{
	if (batch->load_retry_ns > now_ns) {
		if (batch->load_retry_ns < *next_ns)
			*next_ns = batch->load_retry_ns;
	} else if (batch->loaded) {
		batch_reconcile(batch);
	} else {
		batch_load(batch);
	}
}

static void
owner_on_timer(int fd, short what, void *context)
{
	struct kwb_batches *batches = context;
	uint64_t now_ns = kwb_clock_now_ns();
	struct kwb_batch_record *record;
	struct kwb_batch *batch;
	bool needs_heartbeats = batches->records_count > 0 &&
	    now_ns - batches->changed_ns < KWB_OWNER_LINGER_NS;
	uint64_t next_ns = now_ns + KWB_OWNER_CHECK_NS;
	uint64_t claim_ns;
	uint32_t i;

	(void)fd;
	(void)what;
	close_batches(batches);
	for (i = 0; i < batches->records_count; i++) {
		record = batches->records[i];
		if (!needs_owner(record) || claim_is_open(batches, record->id))
			continue;
		batch = batch_find(batches, record->id);
		if (owner_is_self(batches, record)) {
			if (batch == NULL && !batches->handing_over) {
				batch = batch_new(batches, record);
				if (batch != NULL)
					batch_load(batch);
			} else if (batch == NULL) {
				/* Assigned while this node began to stop. */
				claim_start(batches, record, true);
			} else if (batch->load_retry_ns != 0) {
				retry_load(batch, now_ns, &next_ns);
			}
			continue;
		}
		needs_heartbeats = true;
		if (batches->handing_over)
			continue;
		claim_ns = claim_time_ns(batches, record);
		if (claim_ns <= now_ns)
			claim_start(batches, record, false);
		else if (claim_ns < next_ns)
			next_ns = claim_ns;
	}
	if (!TAILQ_EMPTY(&batches->running))
		batches->last_owned_ns = now_ns;
	if (batches->last_owned_ns != 0 && !batches->handing_over &&
	    now_ns - batches->last_owned_ns < KWB_OWNER_LINGER_NS &&
	    now_ns - batches->heartbeat_ns >= KWB_OWNER_HEARTBEAT_NS)
		heartbeat_write(batches);
	if (needs_heartbeats && !batches->handing_over &&
	    batches->heartbeats_read.pending == NULL) {
		struct kwb_range range = {.table = TABLE_NODES, .part = ""};

		batches->heartbeats_read.on_done = heartbeats_on_answer;
		batches->heartbeats_read.context = batches;
		batches->env->store->ops->range(
		    batches->env->store, &range, &batches->heartbeats_read);
	}
	sweep_start_next(batches);
	kwb_timer_arm(batches->owner_timer, next_ns);
}

int
owner_init(struct kwb_batches *batches)
{
	batches->owner_timer =
	    kwb_timer_new(batches->env->base, owner_on_timer, batches);
	if (batches->owner_timer == NULL)
		return KWB_ERR_MEMORY;
	kwb_timer_arm(
	    batches->owner_timer, kwb_clock_now_ns() + KWB_OWNER_CHECK_NS);
	return 0;
}

void
owner_finish(struct kwb_batches *batches)
{
	uint32_t i;

	kwb_store_cancel(batches->env->store, &batches->heartbeat);
	kwb_store_cancel(batches->env->store, &batches->heartbeats_read);
	kwb_store_cancel(batches->env->store, &batches->sweep);
	kwb_store_cancel(batches->env->store, &batches->heartbeat_remove);
	for (i = 0; i < KWB_CLAIMS_MAX; i++)
		if (claims[i].open && claims[i].batches == batches) {
			kwb_store_cancel(batches->env->store, &claims[i].call);
			claims[i].open = false;
		}
	event_free(batches->owner_timer);
	free(batches->heartbeats);
}
