/*
 * Who runs which batch. The head's row names its owner; a node beats in a row
 * of its own while it owns any. A batch whose owner has not beaten for a while,
 * or has let go of it, is taken over by a conditional write, first come first
 * served. Two owners for a moment cost work, never a doubled result.
 */
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"

struct claim {
	struct kwb_store_call call;
	struct kwb_batches *batches;
	struct kwb_batch_head head;
	bool open;
};

static struct claim claims[KWB_CLAIMS_MAX];

bool
own_is_mine(
    const struct kwb_batches *batches, const struct kwb_batch_head *head)
{
	return strcmp(head->owner, batches->env->settings->node) == 0 &&
	    head->owner_incarnation == batches->env->incarnation;
}

static struct kwb_node_beat *
beat_find(const struct kwb_batches *batches, const char *node)
{
	uint32_t i;

	for (i = 0; i < batches->beats_count; i++)
		if (strcmp(batches->beats[i].node, node) == 0)
			return &batches->beats[i];
	return NULL;
}

/* From a beat's value: incarnation and thousandths of a core. */
static uint32_t
processor_of(const char *value)
{
	unsigned processor = 0;

	if (sscanf(value, "%*u %u", &processor) != 1)
		return 0; /* a row of an earlier release */
	return processor;
}

static void
beat_note(struct kwb_batches *batches, const char *node, uint64_t revision,
    const char *value)
{
	struct kwb_node_beat *beat = beat_find(batches, node);
	struct kwb_node_beat *beats;

	if (beat == NULL) {
		beats = realloc(batches->beats,
		    (batches->beats_count + 1) * sizeof(*beats));
		if (beats == NULL)
			return;
		batches->beats = beats;
		beat = &beats[batches->beats_count++];
		memset(beat, 0, sizeof(*beat));
		kwb_text_copy(beat->node, sizeof(beat->node), node);
		beat->seen_ns = kwb_boot_now_ns();
		beat->changed_ns = beat->seen_ns;
		beat->revision = revision;
		beat->processor_milli = processor_of(value);
		return;
	}
	beat->reads++;
	if (beat->revision == revision)
		return;
	beat->revision = revision;
	beat->seen_ns = kwb_boot_now_ns();
	beat->changed_ns = beat->seen_ns;
	beat->changed = true;
	beat->reads = 0;
	beat->processor_milli = processor_of(value);
}

bool
own_is_alive(const struct kwb_batches *batches, const char *node)
{
	const struct kwb_node_beat *beat = beat_find(batches, node);

	return beat != NULL && kwb_beat_is_alive(beat, kwb_boot_now_ns());
}

bool
own_keeps(const struct kwb_batches *batches, const char *owner)
{
	const struct kwb_node_beat *beat = beat_find(batches, owner);

	return own_is_alive(batches, owner) &&
	    kwb_owner_stays(
		beat->processor_milli, batches->env->settings->processor_milli);
}

void
own_changed(struct kwb_batches *batches, const struct kwb_batch_head *head)
{
	struct kwb_node_beat *beat = beat_find(batches, head->owner);

	if (beat != NULL)
		kwb_beat_given(beat, kwb_boot_now_ns());
}

/* Silent for the whole time that this node itself could read the beats. */
static bool
is_silent(struct kwb_batches *batches, const char *node)
{
	const struct kwb_node_beat *beat = beat_find(batches, node);

	if (beat == NULL) {
		beat_note(batches, node, 0, "");
		return false;
	}
	return kwb_beat_is_silent(beat, kwb_boot_now_ns());
}

static void
forget_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	(void)call;
	kwb_log(KWB_LOG_INFO, "own", "event=node_forgotten error=%s",
	    kwb_error_name(answer->error));
}

/* The row of a node that is long gone is removed, or all would read it. */
static void
beat_forget(struct kwb_batches *batches, const struct kwb_row *row)
{
	static struct kwb_tx tx;
	struct kwb_store *store = batches->env->store;
	const struct kwb_node_beat *beat = beat_find(batches, row->key);

	if (beat == NULL || beat->revision != row->revision ||
	    batches->forget.pending != NULL ||
	    kwb_boot_now_ns() - beat->changed_ns < KWB_BEAT_FORGET_NS)
		return;
	memset(&tx, 0, sizeof(tx));
	kwb_tx_expect(&tx, TABLE_NODES, "", row->key, row->revision);
	kwb_tx_remove(&tx, TABLE_NODES, "", row->key);
	batches->forget.on_done = forget_answer;
	batches->forget.context = batches;
	if (store->ops->transact(store, &tx, &batches->forget) != 0)
		kwb_log(KWB_LOG_WARN, "own", "event=node_not_forgotten");
}

static void
look_answer(struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batches *batches = call->context;
	uint32_t i;
	uint32_t k;

	if (answer->error != 0) {
		/* Only beats missed while they could be read count. */
		for (i = 0; i < batches->beats_count; i++) {
			batches->beats[i].seen_ns = kwb_boot_now_ns();
			batches->beats[i].reads = 0;
		}
		return;
	}
	for (i = 0; i < batches->beats_count; i++) {
		for (k = 0; k < answer->rows_count; k++)
			if (strcmp(batches->beats[i].node,
				answer->rows[k].key) == 0)
				break;
		if (k == answer->rows_count)
			batches->beats[i].reads++;
	}
	for (k = 0; k < answer->rows_count; k++) {
		beat_note(batches, answer->rows[k].key,
		    answer->rows[k].revision, answer->rows[k].value);
		beat_forget(batches, &answer->rows[k]);
	}
}

static void
beat_answer(struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batches *batches = call->context;

	if (answer->error != 0)
		batches->beat_ns = 0;
}

static void
beat_write(struct kwb_batches *batches)
{
	static struct kwb_tx tx;
	struct kwb_store *store = batches->env->store;
	char value[48];
	int length = snprintf(value, sizeof(value), "%llu %u",
	    (unsigned long long)batches->env->incarnation,
	    batches->env->settings->processor_milli);

	/* An answer that is lost must not hold up the next beat. */
	kwb_store_cancel(store, &batches->beat);
	memset(&tx, 0, sizeof(tx));
	kwb_tx_put(&tx, TABLE_NODES, "", batches->env->settings->node, value,
	    (size_t)length);
	batches->beat.on_done = beat_answer;
	batches->beat.context = batches;
	if (store->ops->transact(store, &tx, &batches->beat) == 0)
		batches->beat_ns = kwb_clock_now_ns();
}

static void
claim_answer(struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct claim *claim = call->context;

	claim->open = false;
	kwb_log(KWB_LOG_INFO, "own", "event=%s batch=%s revision=%llu error=%s",
	    answer->error == 0 ? "claimed" : "claim_failed", claim->head.id,
	    (unsigned long long)claim->head.revision,
	    kwb_error_name(answer->error));
	if (answer->error != 0)
		return;
	claim->head.revision = answer->revision;
	heads_put(claim->batches, &claim->head);
}

static bool
claim_is_open(const struct kwb_batches *batches, const char *batch)
{
	uint32_t i;

	for (i = 0; i < KWB_CLAIMS_MAX; i++)
		if (claims[i].open && claims[i].batches == batches &&
		    strcmp(claims[i].head.id, batch) == 0)
			return true;
	return false;
}

static void
claim_start(struct kwb_batches *batches, const struct kwb_batch_head *head,
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
	if (claim == NULL || claim_is_open(batches, head->id))
		return;
	memset(claim, 0, sizeof(*claim));
	claim->batches = batches;
	claim->head = *head;
	kwb_text_copy(claim->head.owner, sizeof(claim->head.owner),
	    release ? "" : batches->env->settings->node);
	claim->head.owner_incarnation = release ? 0 : batches->env->incarnation;
	claim->head.fresh = release && head->fresh;
	claim->call.on_done = claim_answer;
	claim->call.context = claim;
	kwb_buf_init(&value);
	memset(&tx, 0, sizeof(tx));
	head_write(&claim->head, &tx, &value);
	claim->open = store->ops->transact(store, &tx, &claim->call) == 0;
	kwb_buf_finish(&value);
}

/*
 * When this node may claim a batch that is not its own, UINT64_MAX for not yet.
 * Nodes wait for different times, so that most see the first claim and make
 * none.
 */
static uint64_t
claim_at(struct kwb_batches *batches, struct kwb_batch_head *head)
{
	if (strcmp(head->owner, batches->env->settings->node) == 0)
		return 0; /* of an earlier process of this node */
	if (head->owner[0] != '\0' && !is_silent(batches, head->owner)) {
		head->claim_ns = 0;
		return UINT64_MAX;
	}
	if (head->claim_ns == 0)
		head->claim_ns = kwb_clock_now_ns() +
		    kwb_claim_wait_ns(batches->env->settings->processor_milli,
			batches->nodes, (uint64_t)random());
	return head->claim_ns;
}

static bool
is_open(const struct kwb_batch_head *head)
{
	return !head->ended && !head->listed;
}

/* Runs of a batch that this node may not run, or need not, come to an end. */
static void
batches_close(struct kwb_batches *batches)
{
	struct kwb_batch *batch = TAILQ_FIRST(&batches->running);
	struct kwb_batch *next;
	const struct kwb_batch_head *head;

	for (; batch != NULL; batch = next) {
		next = TAILQ_NEXT(batch, entry);
		head = kwb_batches_head(batches, batch->head.id);
		if (head != NULL && is_open(head) &&
		    own_is_mine(batches, head) && !batch->closing)
			continue;
		if (batch->closing && batch->head.listed && head != NULL &&
		    is_open(head) && own_is_mine(batches, head)) {
			/* Says in the head that nothing is left to do. */
			struct kwb_batch_head listed = *head;

			listed.listed = true;
			claim_start(batches, &listed, false);
		}
		kwb_log(KWB_LOG_INFO, "own",
		    "event=closed batch=%s listed=%u items=%u reason=%s",
		    batch->head.id, batch->listed, batch->spec.items_count,
		    head == NULL	     ? "removed"
			: head->ended	     ? "ended"
			: batch->head.listed ? "all_listed"
					     : "other_owner");
		batch_free(batch);
	}
}

void
own_look(struct kwb_batches *batches)
{
	/* On the loop's next turn: callers may be inside of a batch. */
	kwb_timer_arm(batches->minder, 0);
}

void
kwb_batches_beat(struct kwb_batches *batches)
{
	batches->beat_ns = 0;
	own_look(batches);
}

/* Reads again what could not be read, or says when. */
static void
load_again(struct kwb_batch *batch, uint64_t now_ns, uint64_t *next_ns)
{
	if (batch->loading_ns > now_ns) {
		if (batch->loading_ns < *next_ns)
			*next_ns = batch->loading_ns;
	} else if (batch->loaded) {
		batch_reconcile(batch);
	} else {
		batch_load(batch);
	}
}

static void
minder_time(int fd, short what, void *context)
{
	struct kwb_batches *batches = context;
	uint64_t now_ns = kwb_clock_now_ns();
	struct kwb_batch_head *head;
	struct kwb_batch *batch;
	bool look = batches->heads_count > 0 &&
	    now_ns - batches->changed_ns < KWB_OWNER_STAY_NS;
	uint64_t next_ns = now_ns + KWB_MINDER_NS;
	uint64_t claim_ns;
	uint32_t i;

	(void)fd;
	(void)what;
	batches_close(batches);
	for (i = 0; i < batches->heads_count; i++) {
		head = batches->heads[i];
		if (!is_open(head) || claim_is_open(batches, head->id))
			continue;
		batch = batch_find(batches, head->id);
		if (own_is_mine(batches, head)) {
			if (batch == NULL && !batches->leaving) {
				batch = batch_new(batches, head);
				if (batch != NULL)
					batch_load(batch);
			} else if (batch == NULL) {
				/* Given to this node as it began to stop. */
				claim_start(batches, head, true);
			} else if (batch->loading_ns != 0) {
				load_again(batch, now_ns, &next_ns);
			}
			continue;
		}
		look = true;
		if (batches->leaving)
			continue;
		claim_ns = claim_at(batches, head);
		if (claim_ns <= now_ns)
			claim_start(batches, head, false);
		else if (claim_ns < next_ns)
			next_ns = claim_ns;
	}
	if (!TAILQ_EMPTY(&batches->running))
		batches->owned_ns = now_ns;
	if (batches->owned_ns != 0 && !batches->leaving &&
	    now_ns - batches->owned_ns < KWB_OWNER_STAY_NS &&
	    now_ns - batches->beat_ns >= KWB_BEAT_NS)
		beat_write(batches);
	if (look && !batches->leaving && batches->look.pending == NULL) {
		struct kwb_range range = {.table = TABLE_NODES, .part = ""};

		batches->look.on_done = look_answer;
		batches->look.context = batches;
		batches->env->store->ops->range(
		    batches->env->store, &range, &batches->look);
	}
	sweep_look(batches);
	kwb_timer_arm(batches->minder, next_ns);
}

int
own_init(struct kwb_batches *batches)
{
	batches->minder =
	    kwb_timer_new(batches->env->base, minder_time, batches);
	if (batches->minder == NULL)
		return KWB_ERR_MEMORY;
	kwb_timer_arm(batches->minder, kwb_clock_now_ns() + KWB_MINDER_NS);
	return 0;
}

void
own_finish(struct kwb_batches *batches)
{
	uint32_t i;

	kwb_store_cancel(batches->env->store, &batches->beat);
	kwb_store_cancel(batches->env->store, &batches->look);
	kwb_store_cancel(batches->env->store, &batches->sweep);
	kwb_store_cancel(batches->env->store, &batches->forget);
	for (i = 0; i < KWB_CLAIMS_MAX; i++)
		if (claims[i].open && claims[i].batches == batches) {
			kwb_store_cancel(batches->env->store, &claims[i].call);
			claims[i].open = false;
		}
	event_free(batches->minder);
	free(batches->beats);
}
