/*
 * Accepts a submission. Its text is stored as an object, then the batch's
 * record is written on condition that there is none. Only that transaction
 * accepts the batch: after an earlier failure the submission is refused, and
 * after an unclear answer to it the record is read back.
 */
#include <stdio.h>
#include <string.h>

#include "batch.h"

static void accept_read_back(struct kwb_batch_accept *accept);

static void
accept_complete(struct kwb_batch_accept *accept,
    enum kwb_batch_accept_outcome outcome, const char *reason)
{
	accept->outcome = outcome;
	accept->reason = reason;
	kwb_log(KWB_LOG_INFO, "accept",
	    "event=%s batch=%s step=%llu items=%u target_groups=%u model=%s "
	    "min_version=%llu reason=%s",
	    outcome == KWB_ACCEPT_TAKEN		? "taken"
		: outcome == KWB_ACCEPT_REFUSED ? "refused"
		: outcome == KWB_ACCEPT_UNKNOWN ? "in_doubt"
						: "invalid",
	    accept->record.id, (unsigned long long)accept->record.step,
	    accept->record.total, accept->record.target_groups,
	    accept->record.model != NULL ? accept->record.model : "-",
	    (unsigned long long)accept->record.min_version, reason);
	accept->on_done(accept);
}

/* Runs the batch from memory when this node is its owner. */
static void
start_batch(struct kwb_batch_accept *accept)
{
	struct kwb_batches *batches = accept->batches;
	struct kwb_batch *batch;

	records_update(batches, &accept->record);
	if (!owner_is_self(batches, &accept->record))
		return;
	if (batch_find(batches, accept->record.id) != NULL ||
	    batches->handing_over)
		return;
	batch = batch_new(batches, &accept->record);
	if (batch == NULL || batch_set_spec(batch, &accept->spec) != 0)
		return; /* the owner's check loads it from the store */
	batch_mark_started(batch);
	batch->loaded = true;
	kwb_batches_dispatch(batches);
}

static void
record_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch_accept *accept = call->context;

	switch (answer->error) {
	case 0:
		accept->record.revision = answer->revision;
		start_batch(accept);
		accept_complete(accept, KWB_ACCEPT_TAKEN, "written");
		return;
	case KWB_ERR_STORE_CONFLICT:
		if (accept->record.workspace[0] != '\0')
			accept_read_back(accept); /* whose is it? */
		else
			accept_complete(
			    accept, KWB_ACCEPT_TAKEN, "there_already");
		return;
	case KWB_ERR_STORE_REFUSED:
		accept_complete(accept, KWB_ACCEPT_REFUSED, "store_refused");
		return;
	default:
		accept_read_back(accept);
	}
}

static void
read_back_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_batch_accept *accept = call->context;
	struct kwb_batch_record found;
	bool is_other = false;

	if (answer->error == 0 && answer->rows_count > 0 &&
	    kwb_batch_record_parse(&found, &answer->rows[0]) == 0) {
		is_other = !kwb_access_is_owner(
		    found.workspace, accept->record.workspace);
		kwb_batch_record_finish(&found);
	}
	if (is_other)
		accept_complete(accept, KWB_ACCEPT_REFUSED, "store_refused");
	else if (answer->error == 0 && answer->rows_count > 0)
		accept_complete(accept, KWB_ACCEPT_TAKEN, "read_back");
	else
		accept_complete(accept, KWB_ACCEPT_UNKNOWN,
		    answer->error == 0 ? "not_there_yet"
				       : kwb_error_name(answer->error));
}

/*
 * The write may still take effect after this read, so a missing record doesn't
 * mean that the submission was refused.
 */
static void
accept_read_back(struct kwb_batch_accept *accept)
{
	struct kwb_store *store = accept->batches->env->store;
	char to[KWB_KEY_MAX_BYTES + 1];
	struct kwb_range range = {.table = TABLE_RECORDS,
	    .part = "",
	    .from = accept->record.id,
	    .to = to};

	snprintf(to, sizeof(to), "%s\x01", accept->record.id);
	accept->call.on_done = read_back_on_answer;
	if (store->ops->range(store, &range, &accept->call) != 0)
		accept_complete(
		    accept, KWB_ACCEPT_UNKNOWN, "store_unreachable");
}

static void
submission_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	static struct kwb_tx tx;
	struct kwb_batch_accept *accept = call->context;
	struct kwb_store *store = accept->batches->env->store;
	struct kwb_buf value;
	int code;

	if (answer->error != 0 && answer->error != KWB_ERR_STORE_CONFLICT) {
		accept_complete(
		    accept, KWB_ACCEPT_REFUSED, kwb_error_name(answer->error));
		return;
	}
	accept->record.accepted_ms = kwb_store_now_ms(store);
	kwb_buf_init(&value);
	memset(&tx, 0, sizeof(tx));
	record_add_to_tx(&accept->record, &tx, &value);
	accept->call.on_done = record_on_answer;
	code = store->ops->transact(store, &tx, &accept->call);
	kwb_buf_finish(&value);
	if (code != 0)
		accept_complete(
		    accept, KWB_ACCEPT_REFUSED, kwb_error_name(code));
}

/*
 * The owner of the model's newest batch gets the next one, too, unless its
 * node is much smaller than this one: it has connections to the upstreams that
 * hold the model and knows which items it runs there.
 */
static void
choose_owner(struct kwb_batch_accept *accept)
{
	const struct kwb_batches *batches = accept->batches;
	const struct kwb_batch_env *env = batches->env;
	struct kwb_batch_record *record = &accept->record;
	const struct kwb_batch_record *newest =
	    kwb_batches_newest_record(batches, record->model);

	kwb_text_copy(
	    record->owner, sizeof(record->owner), env->settings->node);
	record->owner_incarnation = env->incarnation;
	if (newest == NULL || !owner_is_kept(batches, newest->owner))
		return;
	kwb_text_copy(record->owner, sizeof(record->owner), newest->owner);
	record->owner_incarnation = newest->owner_incarnation;
}

/* Fills the new record from the parsed submission. */
static int
record_fill(struct kwb_batch_accept *accept)
{
	struct kwb_batch_record *record = &accept->record;
	uint32_t i;

	record->fresh = true;
	if (kwb_text_replace(&record->model, accept->spec.model) != 0)
		return KWB_ERR_MEMORY;
	record->min_version = accept->spec.min_version;
	record->config_version = (*accept->batches->env->config)->version;
	record->step = accept->spec.step;
	record->target_groups = accept->spec.target_groups;
	record->total = accept->spec.items_count;
	for (i = 0; i < accept->spec.items_count; i++)
		record->tokens += accept->spec.items[i].tokens;
	choose_owner(accept);
	return 0;
}

void
kwb_batch_accept_start(struct kwb_batch_accept *accept)
{
	struct kwb_store *store = accept->batches->env->store;
	const struct kwb_batch_record *known =
	    kwb_batches_find_record(accept->batches, accept->record.id);
	char name[OBJECT_NAME_BYTES];
	int code;

	accept->call.context = accept;
	if (known != NULL) {
		if (kwb_access_is_owner(
			known->workspace, accept->record.workspace))
			accept_complete(accept, KWB_ACCEPT_TAKEN, "known");
		else
			accept_complete(
			    accept, KWB_ACCEPT_REFUSED, "store_refused");
		return;
	}
	code = accept->batches->env->forward->codec->parse_batch(
	    accept->body, accept->body_bytes, &accept->spec);
	if (code != 0) {
		accept_complete(
		    accept, KWB_ACCEPT_INVALID, kwb_error_name(code));
		return;
	}
	code = record_fill(accept);
	if (code != 0) {
		accept_complete(
		    accept, KWB_ACCEPT_REFUSED, kwb_error_name(code));
		return;
	}
	if (accept->batches->handing_over) {
		accept_complete(accept, KWB_ACCEPT_REFUSED, "stopping");
		return;
	}
	batch_object_name(
	    name, sizeof(name), accept->record.workspace, accept->record.id);
	accept->call.on_done = submission_on_answer;
	code = store->ops->object_put(
	    store, name, accept->body, accept->body_bytes, &accept->call);
	if (code != 0)
		accept_complete(
		    accept, KWB_ACCEPT_REFUSED, kwb_error_name(code));
}

void
kwb_batch_accept_finish(struct kwb_batch_accept *accept)
{
	kwb_store_cancel(accept->batches->env->store, &accept->call);
	kwb_batch_spec_finish(&accept->spec);
	kwb_batch_record_finish(&accept->record);
}
