/*
 * Moves upstreams to the versions that trainers name. One holder of a lease
 * orders, with its fencing token, the incarnation it means and the count of
 * orders it has seen; every order is checked against the lease before it goes
 * out. After an order without answer the upstream's state is read first.
 */
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mover.h"

#define TABLE_HOMES "homes" /* key: upstream, value: model and version */
#define LEASE_NAME "weights"
#define NO_MODEL "-" /* in a row: home of no model */

static struct kwb_mover_upstream *
upstream_find(const struct kwb_mover *mover, const char *id)
{
	return kwb_index_get(&mover->index, id);
}

static struct kwb_mover_upstream *
upstream_get(struct kwb_mover *mover, const char *id)
{
	struct kwb_mover_upstream *upstream = upstream_find(mover, id);

	if (upstream != NULL)
		return upstream;
	upstream = calloc(1, sizeof(*upstream));
	if (upstream == NULL)
		return NULL;
	kwb_text_copy(upstream->id, sizeof(upstream->id), id);
	upstream->mover = mover;
	if (kwb_index_put(&mover->index, upstream->id, upstream) != 0) {
		free(upstream);
		return NULL;
	}
	TAILQ_INSERT_TAIL(&mover->upstreams, upstream, entry);
	return upstream;
}

struct kwb_upstream *
mover_listed(const struct kwb_mover *mover, const char *id)
{
	return kwb_registry_find(mover->env->forward->registry, id);
}

/* What the homes' rows say goes to the registry, where requests look. */
void
mover_home_apply(struct kwb_mover *mover, const struct kwb_mover_upstream *home)
{
	struct kwb_upstream *upstream = mover_listed(mover, home->id);

	if (upstream == NULL)
		return;
	kwb_upstream_expect(upstream, home->model, home->target);
}

void
kwb_mover_upstream(struct kwb_mover *mover, struct kwb_upstream *upstream)
{
	struct kwb_mover_upstream *home =
	    upstream_find(mover, upstream->status.id);

	if (home == NULL)
		return;
	mover_home_apply(mover, home);
	if (home->ordered &&
	    kwb_upstream_version(upstream, home->model) >= home->target)
		home->ordered = false;
}

static void
home_row(void *context, const struct kwb_row *row)
{
	struct kwb_mover *mover = context;
	struct kwb_mover_upstream *home = upstream_get(mover, row->key);
	unsigned long long target = 0;

	if (home == NULL || row->revision < home->revision)
		return;
	if (kwb_store_lease_fence(&mover->lease) != 0 && home->model[0] != '\0')
		return; /* an echo: this node writes the rows */
	home->revision = row->deleted ? 0 : row->revision;
	home->model[0] = '\0';
	home->target = 0;
	if (!row->deleted &&
	    sscanf(row->value, "%63s %llu", home->model, &target) < 1)
		kwb_log(KWB_LOG_WARN, "mover",
		    "event=home_unreadable upstream=%s revision=%llu", row->key,
		    (unsigned long long)row->revision);
	if (strcmp(home->model, NO_MODEL) == 0)
		home->model[0] = '\0';
	home->target = target;
	mover_home_apply(mover, home);
	kwb_batches_reconsider(mover->batches);
}

uint64_t
kwb_mover_named(const struct kwb_mover *mover, const char *model)
{
	uint32_t i;

	for (i = 0; i < mover->versions_count; i++)
		if (strcmp(mover->versions[i].model, model) == 0)
			return mover->versions[i].version;
	return 0;
}

void
kwb_mover_name(struct kwb_mover *mover, const char *model, uint64_t version)
{
	uint32_t i;

	for (i = 0; i < mover->versions_count; i++)
		if (strcmp(mover->versions[i].model, model) == 0)
			break;
	if (i == KWB_MODELS_MAX)
		return;
	if (i == mover->versions_count) {
		mover->versions_count++;
		mover->versions[i].version = 0;
		kwb_text_copy(
		    mover->versions[i].model, KWB_NAME_MAX_BYTES, model);
	}
	if (version <= mover->versions[i].version)
		return;
	mover->versions[i].version = version;
	kwb_log(KWB_LOG_INFO, "mover", "event=named model=%s version=%llu",
	    model, (unsigned long long)version);
	kwb_timer_arm(mover->timer, 0);
}

/* ---- Homes ----------------------------------------------------------------
 */

static void
write_answer(struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_mover *mover = call->context;

	struct kwb_mover_upstream *home;

	mover->writing = false;
	if (answer->error == 0) {
		mover_home_write(mover);
		return;
	}
	kwb_log(KWB_LOG_WARN, "mover", "event=homes_not_written error=%s",
	    kwb_error_name(answer->error));
	TAILQ_FOREACH (home, &mover->upstreams, entry)
		home->changed = home->model[0] != '\0';
}

/* Tells all nodes of the homes and of what has been ordered. */
void
mover_home_write(struct kwb_mover *mover)
{
	static struct kwb_tx tx;
	static char values[KWB_TX_ROWS_MAX][KWB_NAME_MAX_BYTES + 24];
	struct kwb_store *store = mover->env->store;
	struct kwb_mover_upstream *home;

	if (mover->writing || kwb_store_lease_fence(&mover->lease) == 0)
		return;
	memset(&tx, 0, sizeof(tx));
	TAILQ_FOREACH (home, &mover->upstreams, entry) {
		if (!home->changed || tx.put_count >= KWB_TX_ROWS_MAX - 1)
			continue;
		snprintf(values[tx.put_count], sizeof(values[0]), "%s %llu",
		    home->model[0] ? home->model : NO_MODEL,
		    (unsigned long long)home->target);
		home->changed = false;
		kwb_tx_put(&tx, TABLE_HOMES, "", home->id, values[tx.put_count],
		    strlen(values[tx.put_count]));
	}
	if (tx.put_count == 0)
		return;
	mover->call.on_done = write_answer;
	mover->call.context = mover;
	mover->writing = store->ops->transact(store, &tx, &mover->call) == 0;
}

static uint64_t
demand_of(const struct kwb_mover *mover, const char *model)
{
	const struct kwb_batch_head *newest =
	    kwb_batches_newest(mover->batches, model);

	return newest ? newest->tokens : 0;
}

/* Homes that the largest batch of a model can fill, twice over and a half. */
static uint32_t
homes_most(const struct kwb_mover *mover, const char *model, uint32_t slots)
{
	const struct kwb_batch_head *head;
	uint32_t items = 0;
	uint32_t i;

	for (i = 0; i < mover->batches->heads_count; i++) {
		head = mover->batches->heads[i];
		if (head->total > items && strcmp(head->model, model) == 0)
			items = head->total;
	}
	if (items == 0 || slots == 0)
		return 0;
	return items * KWB_HOMES_PERCENT / 100 / slots + 1;
}

static void
plan_service(struct kwb_mover *mover, const struct kwb_service *service)
{
	const struct kwb_registry *registry = mover->env->forward->registry;
	struct kwb_home_model models[KWB_MODELS_MAX];
	struct kwb_home_upstream *plan;
	struct kwb_mover_upstream *home;
	struct kwb_upstream *upstream;
	uint32_t models_count = service->models_count;
	uint32_t count = 0;
	uint32_t i;

	plan = calloc(registry->count + 1, sizeof(*plan));
	if (plan == NULL || models_count > KWB_MODELS_MAX) {
		free(plan);
		return;
	}
	for (i = 0; i < models_count; i++) {
		models[i].name = service->models[i];
		models[i].demand = demand_of(mover, service->models[i]);
		models[i].most =
		    homes_most(mover, service->models[i], service->slots);
	}
	for (i = 0; i < registry->count; i++) {
		upstream = registry->upstreams[i];
		if (!upstream->listed || upstream->status.draining ||
		    strcmp(upstream->status.service, service->name) != 0)
			continue;
		plan[count].id = upstream->status.id;
		home = upstream_get(mover, upstream->status.id);
		if (home != NULL)
			kwb_text_copy(
			    plan[count].model, KWB_NAME_MAX_BYTES, home->model);
		count++;
	}
	kwb_homes_plan(plan, count, models, models_count);
	for (i = 0; i < count; i++) {
		home = upstream_find(mover, plan[i].id);
		if (home == NULL || strcmp(home->model, plan[i].model) == 0)
			continue;
		kwb_log(KWB_LOG_INFO, "mover",
		    "event=home upstream=%s model=%s before=%s", home->id,
		    plan[i].model, home->model[0] ? home->model : "-");
		kwb_text_copy(home->model, sizeof(home->model), plan[i].model);
		home->target = 0;
		home->ordered = false;
		home->changed = true;
		mover_home_apply(mover, home);
	}
	free(plan);
}

/* ---- What is ordered now ----------------------------------------------------
 */

static void
home_step(struct kwb_mover *mover, struct mover_look *look,
    struct kwb_mover_upstream *home, const struct kwb_upstream *upstream,
    enum kwb_load urgency)
{
	uint64_t now_ns = kwb_clock_now_ns();
	int at = mover_version_index(mover, home->model);
	struct kwb_load_input *input;

	if (home->ordered && now_ns >= home->look_ns) {
		mover_report_start(home, upstream);
		return;
	}
	if (at < 0 || home->ordered || home->busy_until_ns > now_ns)
		return;
	input = &look->models[at];
	input->version = kwb_upstream_version(upstream, home->model);
	input->loading = look->loading;
	input->loading_max = mover_loading_max(look);
	if (kwb_load_wanted(input) != urgency)
		return;
	if (!home->seq_known) {
		mover_report_start(home, upstream);
		return;
	}
	input->serving -=
	    input->version + input->lag >= input->newest && input->serving > 0;
	input->homes_loading++;
	input->homes_newest++;
	input->homes_needed++;
	look->loading++;
	home->changed = true;
	mover_order_start(home, upstream, input->newest);
}

/* What a batch waits for goes before what is loaded ahead. */
static void
homes_step(
    struct kwb_mover *mover, struct mover_look *look, enum kwb_load urgency)
{
	struct kwb_mover_upstream *home;
	struct kwb_mover_upstream *next;
	const struct kwb_upstream *upstream;

	for (home = TAILQ_FIRST(&mover->upstreams); home != NULL; home = next) {
		next = TAILQ_NEXT(home, entry);
		if (home->asking || home->ordering || home->model[0] == '\0')
			continue;
		upstream = mover_listed(mover, home->id);
		if (upstream != NULL && !upstream->status.draining)
			home_step(mover, look, home, upstream, urgency);
	}
}

void
mover_look_soon(struct kwb_mover *mover)
{
	if (mover->look_soon)
		return;
	mover->look_soon = true;
	kwb_timer_arm(mover->timer, kwb_clock_now_ns() + KWB_MOVER_SOON_NS);
}

static void
mover_time(int fd, short what, void *context)
{
	struct kwb_mover *mover = context;
	const struct kwb_node_config *config = *mover->env->config;
	uint64_t now_ns = kwb_clock_now_ns();
	struct mover_look look;
	uint32_t i;

	(void)fd;
	(void)what;
	mover->look_soon = false;
	kwb_timer_arm(mover->timer, now_ns + KWB_MOVER_NS);
	if (config == NULL || !mover->homes.synced ||
	    kwb_store_lease_fence(&mover->lease) == 0)
		return;
	if (now_ns >= mover->plan_ns) {
		mover->plan_ns = now_ns + KWB_PLAN_NS;
		for (i = 0; i < config->services_count; i++)
			if (config->services[i].models_count > 0)
				plan_service(mover, &config->services[i]);
		mover_home_write(mover);
	}
	mover_look_at(mover, &look);
	homes_step(mover, &look, KWB_LOAD_NOW);
	homes_step(mover, &look, KWB_LOAD_SOON);
}

static void
lease_changed(void *context)
{
	struct kwb_mover *mover = context;
	struct kwb_mover_upstream *home;

	/* Another holder may have ordered since: nothing is known. */
	TAILQ_FOREACH (home, &mover->upstreams, entry) {
		mover_exchange_close(home);
		home->seq_known = false;
		home->ordered = false;
	}
	mover->plan_ns = 0;
	kwb_timer_arm(mover->timer, 0);
}

int
kwb_mover_init(struct kwb_mover *mover, const struct kwb_batch_env *env,
    struct kwb_batches *batches)
{
	int code;

	memset(mover, 0, sizeof(*mover));
	mover->env = env;
	mover->batches = batches;
	TAILQ_INIT(&mover->upstreams);
	mover->timer = kwb_timer_new(env->base, mover_time, mover);
	if (mover->timer == NULL)
		return KWB_ERR_MEMORY;
	kwb_timer_arm(mover->timer, kwb_clock_now_ns() + KWB_MOVER_NS);
	code = kwb_follower_init(&mover->homes, env->base, env->store,
	    TABLE_HOMES, home_row, NULL, mover);
	if (code != 0)
		return code;
	return kwb_store_lease_init(&mover->lease, env->base, env->store,
	    LEASE_NAME, env->settings->node,
	    env->settings->lease_ms * KWB_MS_NS, env->settings->orders_fenced,
	    lease_changed, mover);
}

void
kwb_mover_leave(struct kwb_mover *mover)
{
	kwb_store_lease_step_down(&mover->lease);
}

void
kwb_mover_finish(struct kwb_mover *mover)
{
	struct kwb_mover_upstream *home;
	struct kwb_mover_upstream *next;

	kwb_store_cancel(mover->env->store, &mover->call);
	kwb_store_lease_finish(&mover->lease);
	kwb_follower_finish(&mover->homes);
	event_free(mover->timer);
	kwb_index_finish(&mover->index);
	for (home = TAILQ_FIRST(&mover->upstreams); home != NULL; home = next) {
		next = TAILQ_NEXT(home, entry);
		mover_exchange_close(home);
		free(home);
	}
}
