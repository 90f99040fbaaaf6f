/*
 * Accepting a submission: its text as an object, then its head under the
 * condition that there is none. Only the head's transaction accepts, so a
 * failure before it is a true refusal, and a doubt after it is read back.
 */
#include <stdio.h>
#include <string.h>

#include "batch.h"

static void accept_read_back(struct kwb_accept *accept);

static void
accept_end(struct kwb_accept *accept, enum kwb_accept_outcome outcome,
    const char *reason)
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
	    accept->head.id, (unsigned long long)accept->head.step,
	    accept->head.total, accept->head.target_groups, accept->head.model,
	    (unsigned long long)accept->head.min_version, reason);
	accept->on_done(accept);
}

/* The batch is ours: it begins from memory, without a read. */
static void
accept_run(struct kwb_accept *accept)
{
	struct kwb_batches *batches = accept->batches;
	struct kwb_batch *batch;

	heads_put(batches, &accept->head);
	if (!own_is_mine(batches, &accept->head))
		return;
	if (batch_find(batches, accept->head.id) != NULL || batches->leaving)
		return;
	batch = batch_new(batches, &accept->head);
	if (batch == NULL || batch_set_spec(batch, &accept->spec) != 0)
		return; /* loaded from the store later */
	batch_begun(batch);
	batch->loaded = true;
	kwb_batches_kick(batches);
}

static void
head_answer(struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_accept *accept = call->context;

	switch (answer->error) {
	case 0:
		accept->head.revision = answer->revision;
		accept_run(accept);
		accept_end(accept, KWB_ACCEPT_TAKEN, "written");
		return;
	case KWB_ERR_STORE_CONFLICT:
		accept_end(accept, KWB_ACCEPT_TAKEN, "there_already");
		return;
	case KWB_ERR_STORE_REFUSED:
		accept_end(accept, KWB_ACCEPT_REFUSED, "store_refused");
		return;
	default:
		accept_read_back(accept);
	}
}

static void
back_answer(struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_accept *accept = call->context;

	if (answer->error == 0 && answer->rows_count > 0)
		accept_end(accept, KWB_ACCEPT_TAKEN, "read_back");
	else
		accept_end(accept, KWB_ACCEPT_UNKNOWN,
		    answer->error == 0 ? "not_there_yet"
				       : kwb_error_name(answer->error));
}

/* The write may be done later still, so "not there" refuses nothing. */
static void
accept_read_back(struct kwb_accept *accept)
{
	struct kwb_store *store = accept->batches->env->store;
	char to[KWB_KEY_MAX_BYTES + 1];
	struct kwb_range range = {.table = TABLE_HEADS,
	    .part = "",
	    .from = accept->head.id,
	    .to = to};

	snprintf(to, sizeof(to), "%s\x01", accept->head.id);
	accept->call.on_done = back_answer;
	if (store->ops->range(store, &range, &accept->call) != 0)
		accept_end(accept, KWB_ACCEPT_UNKNOWN, "store_unreachable");
}

static void
object_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	static struct kwb_tx tx;
	struct kwb_accept *accept = call->context;
	struct kwb_store *store = accept->batches->env->store;
	struct kwb_buf value;
	int code;

	if (answer->error != 0 && answer->error != KWB_ERR_STORE_CONFLICT) {
		accept_end(
		    accept, KWB_ACCEPT_REFUSED, kwb_error_name(answer->error));
		return;
	}
	accept->head.accepted_ms = kwb_store_now_ms(store);
	kwb_buf_init(&value);
	memset(&tx, 0, sizeof(tx));
	head_write(&accept->head, &tx, &value);
	accept->call.on_done = head_answer;
	code = store->ops->transact(store, &tx, &accept->call);
	kwb_buf_finish(&value);
	if (code != 0)
		accept_end(accept, KWB_ACCEPT_REFUSED, kwb_error_name(code));
}

/*
 * The node that ran the trainer's last batch gets the next one, too, unless it
 * is much smaller than this one: it has connections to the model's homes and
 * knows what it has placed there.
 */
static void
owner_choose(struct kwb_accept *accept)
{
	const struct kwb_batches *batches = accept->batches;
	const struct kwb_batch_env *env = batches->env;
	struct kwb_batch_head *head = &accept->head;
	const struct kwb_batch_head *newest =
	    kwb_batches_newest(batches, head->model);

	kwb_text_copy(head->owner, sizeof(head->owner), env->settings->node);
	head->owner_incarnation = env->incarnation;
	if (newest == NULL || !own_keeps(batches, newest->owner))
		return;
	kwb_text_copy(head->owner, sizeof(head->owner), newest->owner);
	head->owner_incarnation = newest->owner_incarnation;
}

static void
head_fill(struct kwb_accept *accept)
{
	struct kwb_batch_head *head = &accept->head;
	uint32_t i;

	head->fresh = true;
	kwb_text_copy(head->model, sizeof(head->model), accept->spec.model);
	head->min_version = accept->spec.min_version;
	head->step = accept->spec.step;
	head->target_groups = accept->spec.target_groups;
	head->total = accept->spec.items_count;
	for (i = 0; i < accept->spec.items_count; i++)
		head->tokens += accept->spec.items[i].tokens;
	owner_choose(accept);
}

void
kwb_accept_start(struct kwb_accept *accept)
{
	struct kwb_store *store = accept->batches->env->store;
	char name[KWB_KEY_MAX_BYTES + 8];
	int code;

	accept->call.context = accept;
	if (kwb_batches_head(accept->batches, accept->head.id) != NULL) {
		accept_end(accept, KWB_ACCEPT_TAKEN, "known");
		return;
	}
	code = accept->batches->env->forward->dialect->read_batch(
	    accept->body, accept->body_bytes, &accept->spec);
	if (code != 0) {
		accept_end(accept, KWB_ACCEPT_INVALID, kwb_error_name(code));
		return;
	}
	head_fill(accept);
	if (accept->batches->leaving) {
		accept_end(accept, KWB_ACCEPT_REFUSED, "stopping");
		return;
	}
	object_name(name, sizeof(name), accept->head.id);
	accept->call.on_done = object_answer;
	code = store->ops->object_put(
	    store, name, accept->body, accept->body_bytes, &accept->call);
	if (code != 0)
		accept_end(accept, KWB_ACCEPT_REFUSED, kwb_error_name(code));
}

void
kwb_accept_finish(struct kwb_accept *accept)
{
	kwb_store_cancel(accept->batches->env->store, &accept->call);
	kwb_batch_spec_finish(&accept->spec);
}
