/*
 * Creates and frees a batch in memory, from its submission or from the store
 * when another process ran it before: first the submission, then the items
 * that have results, then the checkpointed texts of the others.
 */
#include <nettle/sha2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"

static void load_range(struct kwb_batch *batch, struct kwb_range *range);

/* Writes the digest of a text as hexadecimal digits. */
static void
text_digest(const char *text, char digits[2 * SHA256_DIGEST_SIZE + 1])
{
	struct sha256_ctx context;
	uint8_t digest[SHA256_DIGEST_SIZE];
	unsigned i;

	sha256_init(&context);
	sha256_update(&context, strlen(text), (const uint8_t *)text);
	sha256_digest(&context, sizeof(digest), digest);
	for (i = 0; i < sizeof(digest); i++)
		snprintf(digits + 2 * i, 3, "%02x", digest[i]);
}

/* A workspace's name has no bound, that of an object has. */
void
batch_object_name(
    char *name, size_t capacity_bytes, const char *workspace, const char *batch)
{
	char digits[2 * SHA256_DIGEST_SIZE + 1];

	if (strlen(workspace) > OBJECT_WORKSPACE_MAX_BYTES) {
		text_digest(workspace, digits);
		snprintf(name, capacity_bytes, "workspace-sha256-%s@%s", digits,
		    batch);
	} else if (workspace[0] != '\0') {
		snprintf(
		    name, capacity_bytes, "workspace-%s@%s", workspace, batch);
	} else {
		snprintf(name, capacity_bytes, "batch-%s", batch);
	}
}

struct kwb_batch *
batch_find(const struct kwb_batches *batches, const char *id)
{
	struct kwb_batch *batch;

	TAILQ_FOREACH (batch, &batches->running, entry)
		if (strcmp(batch->record.id, id) == 0)
			return batch;
	return NULL;
}

struct kwb_batch *
batch_new(struct kwb_batches *batches, const struct kwb_batch_record *record)
{
	struct kwb_batch *batch = calloc(1, sizeof(*batch));
	struct kwb_batch *later;

	if (batch == NULL)
		return NULL;
	batch->batches = batches;
	if (kwb_batch_record_copy(&batch->record, record) != 0) {
		free(batch);
		return NULL;
	}
	TAILQ_FOREACH (later, &batches->running, entry)
		if (later->record.accepted_ms > record->accepted_ms)
			break;
	if (later != NULL)
		TAILQ_INSERT_BEFORE(later, batch, entry);
	else
		TAILQ_INSERT_TAIL(&batches->running, batch, entry);
	return batch;
}

/* What the items take in memory, nearly. */
static uint64_t
spec_bytes(const struct kwb_batch_spec *spec)
{
	uint64_t bytes = 0;
	uint32_t i;

	for (i = 0; i < spec->items_count; i++)
		bytes += sizeof(spec->items[i]) + sizeof(struct item_run) +
		    spec->items[i].body_bytes + spec->items[i].score_body_bytes;
	return bytes;
}

void
batch_free(struct kwb_batch *batch)
{
	uint32_t i;

	kwb_store_cancel(batch->batches->env->store, &batch->call);
	kwb_store_cancel(batch->batches->env->store, &batch->checkpoint_call);
	kwb_store_cancel(
	    batch->batches->env->store, &batch->result_object_call);
	for (i = 0; batch->runs != NULL && i < batch->spec.items_count; i++)
		run_finish(&batch->runs[i]);
	TAILQ_REMOVE(&batch->batches->running, batch, entry);
	free(batch->runs);
	for (i = 0; i < batch->groups_count; i++)
		free(batch->groups[i].upstream_id);
	free(batch->groups);
	if (batch->batches->env->memory != NULL)
		kwb_memory_release(batch->batches->env->memory,
		    KWB_MEMORY_BATCHES, spec_bytes(&batch->spec));
	kwb_batch_spec_finish(&batch->spec);
	kwb_batch_record_finish(&batch->record);
	free(batch);
}

/* Index of the group of that name, which is added if it is new. */
static uint32_t
group_find_or_add(struct kwb_batch *batch, const char *name)
{
	uint32_t i;

	for (i = 0; i < batch->groups_count; i++)
		if (batch->groups[i].name != NULL &&
		    strcmp(batch->groups[i].name, name) == 0)
			return i;
	batch->groups[batch->groups_count].name = name;
	return batch->groups_count++;
}

/*
 * A trainer waits for target_groups groups, whichever are complete first, but
 * always for those carried over, which come first in the batch. Of the others,
 * the groups with the longest items are surplus: the trainer will likely not
 * wait for them.
 */
static void
mark_surplus_groups(struct kwb_batch *batch)
{
	uint32_t carried = batch->spec.target_groups / 2;
	uint32_t surplus_count = batch->groups_count > batch->spec.target_groups
	    ? batch->groups_count - batch->spec.target_groups
	    : 0;
	struct batch_group *longest;
	uint32_t i;

	if (batch->spec.target_groups == 0)
		return;
	for (; surplus_count > 0; surplus_count--) {
		longest = NULL;
		for (i = carried; i < batch->groups_count; i++)
			if (!batch->groups[i].surplus &&
			    (longest == NULL ||
				batch->groups[i].longest_hint >
				    longest->longest_hint))
				longest = &batch->groups[i];
		if (longest == NULL)
			return;
		longest->surplus = true;
	}
}

int
batch_set_spec(struct kwb_batch *batch, struct kwb_batch_spec *spec)
{
	struct batch_group *group;
	uint32_t i;

	batch->runs = calloc(spec->items_count, sizeof(*batch->runs));
	batch->groups = calloc(spec->items_count, sizeof(*batch->groups));
	if (batch->runs == NULL || batch->groups == NULL)
		return KWB_ERR_MEMORY;
	batch->spec = *spec;
	memset(spec, 0, sizeof(*spec));
	if (batch->batches->env->memory != NULL)
		kwb_memory_charge(batch->batches->env->memory,
		    KWB_MEMORY_BATCHES, spec_bytes(&batch->spec));
	for (i = 0; i < batch->spec.items_count; i++) {
		batch->runs[i].batch = batch;
		batch->runs[i].item = &batch->spec.items[i];
		batch->runs[i].waiting_since_ns = kwb_clock_now_ns();
		batch->runs[i].group =
		    group_find_or_add(batch, batch->spec.items[i].group);
		group = &batch->groups[batch->runs[i].group];
		if (batch->spec.items[i].length_hint > group->longest_hint)
			group->longest_hint = batch->spec.items[i].length_hint;
	}
	mark_surplus_groups(batch);
	return 0;
}

static void
load_failed(struct kwb_batch *batch, int error)
{
	kwb_log(KWB_LOG_WARN, "batch", "event=load_failed batch=%s error=%s",
	    batch->record.id, kwb_error_name(error));
	batch->load_retry_ns = kwb_clock_now_ns() + KWB_BATCH_RETRY_NS;
}

struct item_run *
batch_find_run(struct kwb_batch *batch, const char *item, size_t item_bytes)
{
	const char *id;
	uint32_t i;

	for (i = 0; i < batch->spec.items_count; i++) {
		id = batch->spec.items[i].id;
		if (strncmp(id, item, item_bytes) == 0 &&
		    id[item_bytes] == '\0')
			return &batch->runs[i];
	}
	return NULL;
}

static void
chunks_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch *batch = call->context;
	uint32_t resumed = 0;
	uint32_t i;

	if (answer->error != 0) {
		load_failed(batch, answer->error);
		return;
	}
	for (i = 0; i < answer->rows_count; i++)
		chunk_restore(batch, &answer->rows[i]);
	if (batch_read_more(batch, TABLE_PARTIAL, answer))
		return;
	for (i = 0; i < batch->spec.items_count; i++)
		resumed += batch->runs[i].resumed;
	batch->loaded = true;
	kwb_log(KWB_LOG_INFO, "batch",
	    "event=loaded batch=%s items=%u listed=%u partial=%u",
	    batch->record.id, batch->spec.items_count, batch->listed, resumed);
	if (batch->listed == batch->spec.items_count)
		batch_mark_complete(batch);
	kwb_batches_dispatch(batch->batches);
}

/* Reads the next page of a range, with the same callback. */
bool
batch_read_more(struct kwb_batch *batch, const char *table,
    const struct kwb_store_answer *answer)
{
	struct kwb_store *store = batch->batches->env->store;
	char from[2 * KWB_KEY_MAX_BYTES];
	struct kwb_range range = {
	    .table = table, .part = batch->record.id, .from = from};

	if (!answer->more || answer->rows_count == 0)
		return false;
	snprintf(from, sizeof(from), "%s\x01",
	    answer->rows[answer->rows_count - 1].key);
	if (store->ops->range(store, &range, &batch->call) != 0)
		batch->load_retry_ns = kwb_clock_now_ns() + KWB_BATCH_RETRY_NS;
	return true;
}

/* Marks the items of these rows as listed, by this node or another. */
void
batch_mark_listed(
    struct kwb_batch *batch, const struct kwb_store_answer *answer)
{
	struct item_run *run;
	uint32_t i;

	for (i = 0; i < answer->rows_count; i++) {
		run = batch_find_run(
		    batch, answer->rows[i].key, strlen(answer->rows[i].key));
		if (run == NULL || run->state == ITEM_LISTED)
			continue;
		run_finish(run);
		run->state = ITEM_LISTED;
		batch->listed++;
	}
}

static void
done_rows_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch *batch = call->context;
	struct kwb_range range = {
	    .table = TABLE_PARTIAL, .part = batch->record.id};

	if (answer->error != 0) {
		load_failed(batch, answer->error);
		return;
	}
	batch_mark_listed(batch, answer);
	if (batch_read_more(batch, TABLE_DONE, answer))
		return;
	call->on_done = chunks_on_answer;
	load_range(batch, &range);
}

static void
load_range(struct kwb_batch *batch, struct kwb_range *range)
{
	struct kwb_store *store = batch->batches->env->store;
	int code = store->ops->range(store, range, &batch->call);

	if (code != 0)
		load_failed(batch, code);
}

/* From now on results may exist, so a later load has to read them. */
void
batch_mark_started(struct kwb_batch *batch)
{
	struct kwb_batch_record *known =
	    kwb_batches_find_record(batch->batches, batch->record.id);

	batch->record.fresh = false;
	if (known != NULL)
		known->fresh = false;
}

static void
submission_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch *batch = call->context;
	struct kwb_range range = {
	    .table = TABLE_DONE, .part = batch->record.id};
	struct kwb_batch_spec spec;
	int code = answer->error;

	if (code == 0)
		code = batch->batches->env->forward->codec->parse_batch(
		    kwb_buf_text(&answer->object), answer->object.used_bytes,
		    &spec);
	if (code == 0)
		code = batch_set_spec(batch, &spec);
	if (code != 0) {
		load_failed(batch, code);
		return;
	}
	if (batch->record.fresh) {
		batch_mark_started(batch);
		batch->loaded = true;
		kwb_batches_dispatch(batch->batches);
		return;
	}
	call->on_done = done_rows_on_answer;
	load_range(batch, &range);
}

void
batch_load(struct kwb_batch *batch)
{
	struct kwb_store *store = batch->batches->env->store;
	struct kwb_range range = {
	    .table = TABLE_DONE, .part = batch->record.id};
	char name[OBJECT_NAME_BYTES];
	int code;

	batch->load_retry_ns = 0;
	batch->call.context = batch;
	if (batch->runs != NULL) {
		batch->call.on_done = done_rows_on_answer;
		load_range(batch, &range);
		return;
	}
	batch_object_name(
	    name, sizeof(name), batch->record.workspace, batch->record.id);
	batch->call.on_done = submission_on_answer;
	code = store->ops->object_get(store, name, &batch->call);
	if (code != 0)
		load_failed(batch, code);
}
