/*
 * The weight updater: assigns models to upstreams and orders each upstream to
 * load the versions that trainers announce. All nodes run it, but only the
 * holder of the lease sends orders. An order carries the holder's fencing
 * token, the upstream's incarnation and the number of orders that the
 * upstream has accepted, so that the upstream rejects one that is out of
 * date. The lease is checked before each order. After an order without an
 * answer the upstream's state is read before the next one.
 *
 * Its log module is "mover"; the store keeps assignments in ASSIGNMENTS_TABLE.
 */
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mover.h"

#define ASSIGNMENTS_TABLE "homes" /* key: upstream, value: model, version */
#define LEASE_NAME "weights"
#define NO_MODEL_TEXT "-" /* in a row: upstream without a model */

static struct kwb_replica *
replica_find(const struct kwb_weight_updater *updater, const char *id)
{
	return kwb_index_get(&updater->index, id);
}

static void
replica_free(struct kwb_replica *replica)
{
	free(replica->id);
	free(replica->model);
	free(replica);
}

/* Finds or adds; NULL without memory. */
static struct kwb_replica *
replica_get(struct kwb_weight_updater *updater, const char *id)
{
	struct kwb_replica *replica = replica_find(updater, id);

	if (replica != NULL)
		return replica;
	replica = calloc(1, sizeof(*replica));
	if (replica == NULL)
		return NULL;
	replica->updater = updater;
	if (kwb_text_replace(&replica->id, id) != 0 ||
	    kwb_text_replace(&replica->model, "") != 0 ||
	    kwb_index_put(&updater->index, replica->id, replica) != 0) {
		replica_free(replica);
		return NULL;
	}
	TAILQ_INSERT_TAIL(&updater->replicas, replica, entry);
	return replica;
}

struct kwb_upstream *
updater_find_listed(const struct kwb_weight_updater *updater, const char *id)
{
	return kwb_registry_find(updater->env->forward->registry, id);
}

/* Copies an assignment into the registry, which routing reads. */
void
updater_assignment_apply(
    struct kwb_weight_updater *updater, const struct kwb_replica *replica)
{
	struct kwb_upstream *upstream =
	    updater_find_listed(updater, replica->id);

	if (upstream == NULL)
		return;
	kwb_upstream_assign(upstream, replica->model, replica->target_version);
}

void
kwb_weight_updater_on_upstream(
    struct kwb_weight_updater *updater, struct kwb_upstream *upstream)
{
	struct kwb_replica *replica =
	    replica_find(updater, upstream->status.id);

	if (replica == NULL)
		return;
	updater_assignment_apply(updater, replica);
	if (replica->load_pending &&
	    kwb_upstream_version(upstream, replica->model) >=
		replica->target_version)
		replica->load_pending = false;
}

char *
kwb_replica_row_parse(const char *value, uint64_t *version)
{
	const char *space = strrchr(value, ' ');
	char *end;

	*version = 0;
	if (space == NULL || space == value)
		return NULL;
	*version = strtoull(space + 1, &end, 10);
	if (end == space + 1 || *end != '\0')
		return NULL;
	return strndup(value, (size_t)(space - value));
}

static void
assignment_on_row(void *context, const struct kwb_row *row)
{
	struct kwb_weight_updater *updater = context;
	struct kwb_replica *replica = replica_get(updater, row->key);
	uint64_t target = 0;
	char *model = NULL;

	if (replica == NULL || row->revision < replica->revision)
		return;
	if (kwb_store_lease_fence(&updater->lease) != 0 &&
	    replica->model[0] != '\0')
		return; /* its own write: only the lease holder writes rows */
	if (!row->deleted)
		model = kwb_replica_row_parse(row->value, &target);
	if (!row->deleted && model == NULL)
		kwb_log(KWB_LOG_WARN, "mover",
		    "event=home_unreadable upstream=%s revision=%llu", row->key,
		    (unsigned long long)row->revision);
	if (kwb_text_replace(&replica->model,
		model != NULL && strcmp(model, NO_MODEL_TEXT) != 0 ? model
								   : "") != 0) {
		free(model);
		return;
	}
	free(model);
	replica->revision = row->deleted ? 0 : row->revision;
	replica->target_version = target;
	updater_assignment_apply(updater, replica);
	kwb_batches_rebalance(updater->batches);
}

uint64_t
kwb_weight_updater_announced(
    const struct kwb_weight_updater *updater, const char *model)
{
	uint32_t i;

	for (i = 0; i < updater->versions_count; i++)
		if (strcmp(updater->versions[i].model, model) == 0)
			return updater->versions[i].version;
	return 0;
}

void
kwb_weight_updater_announce(
    struct kwb_weight_updater *updater, const char *model, uint64_t version)
{
	struct kwb_model_version *versions = updater->versions;
	uint32_t i;

	for (i = 0; i < updater->versions_count; i++)
		if (strcmp(versions[i].model, model) == 0)
			break;
	if (i == updater->versions_count) {
		versions = realloc(versions, (i + 1) * sizeof(*versions));
		if (versions != NULL)
			updater->versions = versions;
		if (versions == NULL ||
		    (versions[i].model = strdup(model)) == NULL) {
			kwb_log(KWB_LOG_ERROR, "mover",
			    "event=not_named model=%s error=%s", model,
			    kwb_error_name(KWB_ERR_MEMORY));
			return;
		}
		versions[i].version = 0;
		updater->versions_count++;
	}
	if (version <= updater->versions[i].version)
		return;
	updater->versions[i].version = version;
	kwb_log(KWB_LOG_INFO, "mover", "event=named model=%s version=%llu",
	    model, (unsigned long long)version);
	kwb_timer_arm(updater->timer, 0);
}

/* ---- Assignment of models to upstreams --------------------------------------
 */

static void
write_on_answer(
    struct kwb_store_call *call, const struct kwb_store_answer *answer)
{
	struct kwb_weight_updater *updater = call->context;

	struct kwb_replica *replica;

	updater->write_pending = false;
	if (answer->error == 0) {
		updater_rows_write(updater);
		return;
	}
	kwb_log(KWB_LOG_WARN, "mover", "event=homes_not_written error=%s",
	    kwb_error_name(answer->error));
	TAILQ_FOREACH (replica, &updater->replicas, entry)
		replica->row_changed = replica->model[0] != '\0';
}

/* Publishes changed assignments and ordered versions to all nodes. */
void
updater_rows_write(struct kwb_weight_updater *updater)
{
	static struct kwb_tx tx;
	struct kwb_buf values[KWB_TX_ROWS_MAX] = {0};
	struct kwb_store *store = updater->env->store;
	struct kwb_replica *replica;
	struct kwb_buf *value;
	uint32_t i;

	if (updater->write_pending ||
	    kwb_store_lease_fence(&updater->lease) == 0)
		return;
	memset(&tx, 0, sizeof(tx));
	TAILQ_FOREACH (replica, &updater->replicas, entry) {
		if (!replica->row_changed ||
		    tx.put_count >= KWB_TX_ROWS_MAX - 1)
			continue;
		value = &values[tx.put_count];
		if (kwb_buf_printf(value, "%s %llu",
			replica->model[0] ? replica->model : NO_MODEL_TEXT,
			(unsigned long long)replica->target_version) != 0)
			break;
		replica->row_changed = false;
		kwb_tx_put(&tx, ASSIGNMENTS_TABLE, "", replica->id,
		    kwb_buf_text(value), value->used_bytes);
	}
	if (tx.put_count == 0)
		return;
	updater->write.on_done = write_on_answer;
	updater->write.context = updater;
	updater->write_pending =
	    store->ops->transact(store, &tx, &updater->write) == 0;
	for (i = 0; i < tx.put_count; i++)
		kwb_buf_finish(&values[i]);
}

/* Tokens of the model's newest batch, 0 when there is none. */
static uint64_t
model_demand(const struct kwb_weight_updater *updater, const char *model)
{
	const struct kwb_batch_record *newest =
	    kwb_batches_newest_record(updater->batches, model);

	return newest ? newest->tokens : 0;
}

/*
 * Replicas that KWB_REPLICA_SLOTS_PERCENT of the model's largest batch can
 * fill, 0 when unknown.
 */
static uint32_t
replicas_max(
    const struct kwb_weight_updater *updater, const char *model, uint32_t slots)
{
	const struct kwb_batch_record *head;
	uint32_t items = 0;
	uint32_t i;

	for (i = 0; i < updater->batches->records_count; i++) {
		head = updater->batches->records[i];
		if (head->total > items && strcmp(head->model, model) == 0)
			items = head->total;
	}
	if (items == 0 || slots == 0)
		return 0;
	return items * KWB_REPLICA_SLOTS_PERCENT / 100 / slots + 1;
}

/* Assigns the service's models to its upstreams and notes the changes. */
static void
service_assign(
    struct kwb_weight_updater *updater, const struct kwb_service *service)
{
	const struct kwb_registry *registry = updater->env->forward->registry;
	struct kwb_model_demand *models;
	struct kwb_replica_assignment *assignments;
	struct kwb_replica *replica;
	struct kwb_upstream *upstream;
	uint32_t models_count = service->models_count;
	uint32_t count = 0;
	uint32_t i;

	assignments = calloc(registry->count + 1, sizeof(*assignments));
	models = calloc(models_count, sizeof(*models));
	if (assignments == NULL || models == NULL) {
		free(assignments);
		free(models);
		return;
	}
	for (i = 0; i < models_count; i++) {
		models[i].name = service->models[i];
		models[i].demand_tokens =
		    model_demand(updater, service->models[i]);
		models[i].replicas_max =
		    replicas_max(updater, service->models[i], service->slots);
	}
	for (i = 0; i < registry->count; i++) {
		upstream = registry->upstreams[i];
		if (!kwb_upstream_takes_requests(upstream) ||
		    strcmp(upstream->status.service, service->name) != 0)
			continue;
		assignments[count].id = upstream->status.id;
		replica = replica_get(updater, upstream->status.id);
		if (replica != NULL)
			assignments[count].model = replica->model;
		count++;
	}
	if (kwb_replicas_assign(assignments, count, models, models_count) != 0)
		count = 0;
	for (i = 0; i < count; i++) {
		replica = replica_find(updater, assignments[i].id);
		if (replica == NULL ||
		    strcmp(replica->model, assignments[i].model) == 0)
			continue;
		kwb_log(KWB_LOG_INFO, "mover",
		    "event=home upstream=%s model=%s before=%s", replica->id,
		    assignments[i].model,
		    replica->model[0] ? replica->model : "-");
		if (kwb_text_replace(&replica->model, assignments[i].model) !=
		    0)
			continue;
		replica->target_version = 0;
		replica->load_pending = false;
		replica->row_changed = true;
		updater_assignment_apply(updater, replica);
	}
	free(assignments);
	free(models);
}

/* ---- Orders -----------------------------------------------------------------
 */

static void
replica_update(struct kwb_weight_updater *updater,
    struct updater_snapshot *snapshot, struct kwb_replica *replica,
    const struct kwb_upstream *upstream, enum kwb_weight_load_urgency urgency)
{
	uint64_t now_ns = kwb_clock_now_ns();
	int index = updater_model_index(updater, replica->model);
	struct kwb_weight_load_input *input;

	if (replica->load_pending && now_ns >= replica->check_ns) {
		updater_report_start(replica, upstream);
		return;
	}
	if (index < 0 || replica->load_pending ||
	    replica->busy_until_ns > now_ns)
		return;
	input = &snapshot->models[index];
	input->version = kwb_upstream_version(upstream, replica->model);
	input->loading = snapshot->loading;
	input->loading_max = updater_loads_max(snapshot);
	if (kwb_weight_load_urgency(input) != urgency)
		return;
	if (!replica->order_seq_known) {
		updater_report_start(replica, upstream);
		return;
	}
	input->serving -=
	    input->version + input->lag >= input->newest && input->serving > 0;
	input->replicas_loading++;
	input->replicas_newest++;
	input->replicas_needed++;
	snapshot->loading++;
	replica->row_changed = true;
	updater_order_start(replica, upstream, input->newest);
}

/*
 * Reads the state of replicas where that is due and sends the orders of this
 * urgency. Loads that a batch waits for come first, then loads ahead.
 */
static void
replicas_update(struct kwb_weight_updater *updater,
    struct updater_snapshot *snapshot, enum kwb_weight_load_urgency urgency)
{
	struct kwb_replica *replica;
	struct kwb_replica *next;
	const struct kwb_upstream *upstream;

	for (replica = TAILQ_FIRST(&updater->replicas); replica != NULL;
	     replica = next) {
		next = TAILQ_NEXT(replica, entry);
		if (replica->report_pending || replica->order_pending ||
		    replica->model[0] == '\0')
			continue;
		upstream = updater_find_listed(updater, replica->id);
		if (upstream != NULL && kwb_upstream_takes_requests(upstream))
			replica_update(
			    updater, snapshot, replica, upstream, urgency);
	}
}

void
updater_check_soon(struct kwb_weight_updater *updater)
{
	if (updater->check_armed)
		return;
	updater->check_armed = true;
	kwb_timer_arm(
	    updater->timer, kwb_clock_now_ns() + KWB_UPDATER_DELAY_NS);
}

static void
updater_on_timer(int fd, short what, void *context)
{
	struct kwb_weight_updater *updater = context;
	const struct kwb_node_config *config = *updater->env->config;
	uint64_t now_ns = kwb_clock_now_ns();
	struct updater_snapshot snapshot;
	uint32_t i;

	(void)fd;
	(void)what;
	updater->check_armed = false;
	kwb_timer_arm(updater->timer, now_ns + KWB_UPDATER_PERIOD_NS);
	if (config == NULL || !updater->rows.synced ||
	    kwb_store_lease_fence(&updater->lease) == 0)
		return;
	if (now_ns >= updater->assign_ns) {
		updater->assign_ns = now_ns + KWB_ASSIGN_PERIOD_NS;
		for (i = 0; i < config->services_count; i++)
			if (config->services[i].models_count > 0)
				service_assign(updater, &config->services[i]);
		updater_rows_write(updater);
	}
	if (updater_snapshot_take(updater, &snapshot) != 0)
		return;
	replicas_update(updater, &snapshot, KWB_WEIGHT_LOAD_NOW);
	replicas_update(updater, &snapshot, KWB_WEIGHT_LOAD_AHEAD);
	free(snapshot.models);
}

static void
lease_on_change(void *context)
{
	struct kwb_weight_updater *updater = context;
	struct kwb_replica *replica;

	/* Another holder may have sent orders: read each state again. */
	TAILQ_FOREACH (replica, &updater->replicas, entry) {
		updater_exchange_close(replica);
		replica->order_seq_known = false;
		replica->load_pending = false;
	}
	updater->assign_ns = 0;
	kwb_timer_arm(updater->timer, 0);
}

int
kwb_weight_updater_init(struct kwb_weight_updater *updater,
    const struct kwb_batch_env *env, struct kwb_batches *batches)
{
	int code;

	memset(updater, 0, sizeof(*updater));
	updater->env = env;
	updater->batches = batches;
	TAILQ_INIT(&updater->replicas);
	updater->timer = kwb_timer_new(env->base, updater_on_timer, updater);
	if (updater->timer == NULL)
		return KWB_ERR_MEMORY;
	kwb_timer_arm(
	    updater->timer, kwb_clock_now_ns() + KWB_UPDATER_PERIOD_NS);
	code = kwb_follower_init(&updater->rows, env->base, env->store,
	    ASSIGNMENTS_TABLE, assignment_on_row, NULL, updater);
	if (code != 0)
		return code;
	return kwb_store_lease_init(&updater->lease, env->base, env->store,
	    LEASE_NAME, env->settings->node,
	    env->settings->lease_ms * KWB_MS_NS,
	    env->settings->is_fencing_enforced, lease_on_change, updater);
}

void
kwb_weight_updater_step_down(struct kwb_weight_updater *updater)
{
	kwb_store_lease_step_down(&updater->lease);
}

void
kwb_weight_updater_finish(struct kwb_weight_updater *updater)
{
	struct kwb_replica *replica;
	struct kwb_replica *next;
	uint32_t i;

	kwb_store_cancel(updater->env->store, &updater->write);
	kwb_store_lease_finish(&updater->lease);
	kwb_follower_finish(&updater->rows);
	event_free(updater->timer);
	kwb_index_finish(&updater->index);
	for (replica = TAILQ_FIRST(&updater->replicas); replica != NULL;
	     replica = next) {
		next = TAILQ_NEXT(replica, entry);
		updater_exchange_close(replica);
		replica_free(replica);
	}
	for (i = 0; i < updater->versions_count; i++)
		free(updater->versions[i].model);
	free(updater->versions);
}
