/*
 * All batches that the store knows of, followed by every node; and the pump
 * that starts items of those that this node runs.
 */
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"

struct kwb_batch_head *
kwb_batches_head(const struct kwb_batches *batches, const char *id)
{
	uint32_t i;

	for (i = batches->heads_count; i > 0; i--)
		if (strcmp(batches->heads[i - 1]->id, id) == 0)
			return batches->heads[i - 1];
	return NULL;
}

const struct kwb_batch_head *
kwb_batches_newest(const struct kwb_batches *batches, const char *model)
{
	const struct kwb_batch_head *newest = NULL;
	uint32_t i;

	for (i = 0; i < batches->heads_count; i++)
		if (strcmp(batches->heads[i]->model, model) == 0 &&
		    (newest == NULL ||
			batches->heads[i]->accepted_ms > newest->accepted_ms))
			newest = batches->heads[i];
	return newest;
}

void
heads_put(struct kwb_batches *batches, const struct kwb_batch_head *head)
{
	struct kwb_batch_head *known = kwb_batches_head(batches, head->id);
	uint32_t room = batches->heads_room ? batches->heads_room * 2 : 16;
	struct kwb_batch_head **heads;

	if (known != NULL && known->revision >= head->revision)
		return;
	if (known == NULL || strcmp(known->owner, head->owner) != 0)
		own_changed(batches, head);
	if (known == NULL && batches->heads_count == batches->heads_room) {
		heads = realloc(
		    batches->heads, room * sizeof(struct kwb_batch_head *));
		if (heads == NULL)
			return;
		batches->heads = heads;
		batches->heads_room = room;
	}
	if (known == NULL) {
		known = malloc(sizeof(*known));
		if (known == NULL)
			return;
		batches->heads[batches->heads_count++] = known;
	}
	*known = *head;
	batches->changed_ns = kwb_clock_now_ns();
	own_look(batches);
}

void
head_write(
    const struct kwb_batch_head *head, struct kwb_tx *tx, struct kwb_buf *value)
{
	kwb_batch_head_print(head, value);
	kwb_tx_expect(tx, TABLE_HEADS, "", head->id, head->revision);
	kwb_tx_put(tx, TABLE_HEADS, "", head->id, kwb_buf_text(value),
	    value->used_bytes);
}

static void
head_row(void *context, const struct kwb_row *row)
{
	struct kwb_batches *batches = context;
	struct kwb_batch_head head;
	uint32_t i;

	if (row->deleted) {
		for (i = 0; i < batches->heads_count; i++)
			if (strcmp(batches->heads[i]->id, row->key) == 0) {
				free(batches->heads[i]);
				batches->heads[i] =
				    batches->heads[--batches->heads_count];
				break;
			}
		own_look(batches);
		return;
	}
	if (kwb_batch_head_parse(&head, row) != 0) {
		kwb_log(KWB_LOG_WARN, "batch",
		    "event=head_unreadable batch=%s revision=%llu", row->key,
		    (unsigned long long)row->revision);
		return;
	}
	heads_put(batches, &head);
}

static void
pump_time(int fd, short what, void *context)
{
	struct kwb_batches *batches = context;
	struct kwb_batch *batch;
	bool left = false;

	(void)fd;
	(void)what;
	batches->pump_armed = false;
	if (batches->leaving)
		return;
	/*
	 * A node that the store has turned away for so long may have missed
	 * the end of a batch: what runs goes on, nothing new starts.
	 */
	if (kwb_clock_now_ns() - batches->env->store->last_answer_ns <
	    KWB_START_STORE_NS)
		TAILQ_FOREACH (batch, &batches->running, entry)
			left |= batch_pump(batch);
	if (kwb_clock_now_ns() - batches->moved_ns >= KWB_MOVE_LOOK_NS) {
		batches->moved_ns = kwb_clock_now_ns();
		TAILQ_FOREACH (batch, &batches->running, entry)
			batch_move(batch);
		TAILQ_FOREACH (batch, &batches->running, entry)
			batch_checkpoint(batch);
	}
	if (!batches->pump_armed && !TAILQ_EMPTY(&batches->running)) {
		batches->pump_armed = true;
		kwb_timer_arm(batches->pump,
		    kwb_clock_now_ns() +
			(left ? KWB_PUMP_NS : KWB_MOVE_LOOK_NS));
	}
}

void
kwb_batches_kick(struct kwb_batches *batches)
{
	batches->pump_armed = true;
	kwb_timer_arm(batches->pump, 0);
}

void
kwb_batches_reconsider(struct kwb_batches *batches)
{
	batches->moved_ns = 0;
	kwb_batches_kick(batches);
}

int
kwb_batches_init(struct kwb_batches *batches, const struct kwb_batch_env *env)
{
	int code;

	memset(batches, 0, sizeof(*batches));
	batches->env = env;
	TAILQ_INIT(&batches->running);
	TAILQ_INIT(&batches->reads);
	batches->pump = kwb_timer_new(env->base, pump_time, batches);
	if (batches->pump == NULL)
		return KWB_ERR_MEMORY;
	code = own_init(batches);
	if (code != 0)
		return code;
	return kwb_follower_init(&batches->follower, env->base, env->store,
	    TABLE_HEADS, head_row, NULL, batches);
}

void
kwb_batches_finish(struct kwb_batches *batches)
{
	uint32_t i;

	kwb_follower_finish(&batches->follower);
	while (!TAILQ_EMPTY(&batches->running))
		batch_free(TAILQ_FIRST(&batches->running));
	own_finish(batches);
	event_free(batches->pump);
	for (i = 0; i < batches->heads_count; i++)
		free(batches->heads[i]);
	free(batches->heads);
}

void
kwb_batches_leave(struct kwb_batches *batches)
{
	struct kwb_batch *batch;

	batches->leaving = true;
	TAILQ_FOREACH (batch, &batches->running, entry)
		batch_leave(batch);
}

bool
kwb_batches_idle(const struct kwb_batches *batches)
{
	return TAILQ_EMPTY(&batches->running);
}
