/*
 * Start, state and stop of a node. It follows rows of the store: the operator's
 * config, the versions of models that trainers announce, and the entries of
 * upstreams. A stop lets the requests in progress end.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>

#include "caller.h"

/* Names the parts that are left out of a config. */
static void
log_left_out(
    const struct kwb_faults *faults, const struct kwb_node_config *config)
{
	uint32_t i;

	for (i = 0; i < faults->count; i++)
		kwb_log(KWB_LOG_WARN, "node",
		    "event=config_part_left_out version=%llu reason=\"%s\"",
		    (unsigned long long)config->version, faults->text[i]);
}

/*
 * A config that can't be parsed, or is not newer, changes nothing. What of it
 * can't be used by itself is left out.
 */
static void
apply_config_row(struct kwb_node *node, const struct kwb_row *row)
{
	struct kwb_faults *faults = calloc(1, sizeof(*faults));
	struct kwb_node_config *config = calloc(1, sizeof(*config));
	int code = KWB_ERR_MEMORY;

	if (config != NULL && faults != NULL && !row->deleted)
		code = node->schema->parse_config(
		    config, row->value, row->value_bytes, faults);
	if (code != 0 && !row->deleted)
		kwb_metric_add(KWB_METRIC_CONFIGS_REFUSED, 1);
	if (code != 0 ||
	    (node->config != NULL &&
		config->version <= node->config->version)) {
		kwb_log(KWB_LOG_WARN, "node",
		    "event=config_not_taken version=%llu reason=\"%s\"",
		    (unsigned long long)(config ? config->version : 0),
		    faults != NULL && faults->count > 0 ? faults->text[0]
							: "not_newer");
		node->access.is_config_unread = code != 0;
		if (code == 0)
			kwb_node_config_finish(config);
		free(config);
		free(faults);
		return;
	}
	log_left_out(faults, config);
	free(faults);
	kwb_metric_set(KWB_METRIC_CONFIG_LEFT_OUT, config->left_out_count);
	if (node->config != NULL)
		kwb_node_config_finish(node->config);
	free(node->config);
	node->config = config;
	node->access.is_config_unread = false;
	node->room.is_enabled = config->has_workspaces;
	kwb_metric_set(KWB_METRIC_LISTS_REVISION, config->version);
	kwb_log(KWB_LOG_INFO, "node",
	    "event=config version=%llu routes=%u services=%u workspaces=%u "
	    "keys=%u row=%llu",
	    (unsigned long long)config->version, config->routes_count,
	    config->services_count, config->workspaces_count,
	    config->keys.count, (unsigned long long)row->revision);
	kwb_batches_dispatch(&node->batches);
}

static void
operator_on_row(void *context, const struct kwb_row *row)
{
	struct kwb_node *node = context;
	const struct kwb_document_schema *schema = node->schema;
	char *model;
	uint64_t version;

	if (strcmp(row->key, schema->config_key) == 0) {
		apply_config_row(node, row);
		return;
	}
	if (row->deleted ||
	    strncmp(row->key, schema->version_prefix,
		strlen(schema->version_prefix)) != 0)
		return;
	if (schema->parse_version(
		row->value, row->value_bytes, &model, &version) != 0) {
		kwb_log(KWB_LOG_WARN, "node", "event=version_unreadable key=%s",
		    row->key);
		return;
	}
	kwb_weight_updater_announce(&node->weight_updater, model, version);
	free(model);
}

static void
operator_on_proof(void *context)
{
	callers_recheck(context);
}

/*
 * Entries expire in an outage of the store, and upstreams that still run write
 * them again soon after it. So an upstream is removed only if its entry is
 * still missing KWB_UPSTREAM_RETURN_NS after the outage.
 */
static void
remove_upstream(struct kwb_node *node, const char *id)
{
	struct kwb_upstream *upstream = kwb_registry_find(&node->registry, id);
	uint64_t now_ns = kwb_clock_now_ns();

	if (upstream == NULL)
		return;
	if (now_ns < node->store->recovered_ns + KWB_UPSTREAM_RETURN_NS) {
		upstream->removal_ns =
		    node->store->recovered_ns + KWB_UPSTREAM_RETURN_NS;
		return;
	}
	kwb_log(KWB_LOG_INFO, "node", "event=upstream_gone id=%s", id);
	kwb_registry_remove(&node->registry, id);
}

static void
upstream_on_row(void *context, const struct kwb_row *row)
{
	struct kwb_node *node = context;
	struct kwb_upstream_status status;
	struct kwb_upstream *upstream;
	bool is_known;

	if (row->deleted) {
		remove_upstream(node, row->key);
		return;
	}
	if (node->schema->parse_upstream(
		&status, row->key, row->value, row->value_bytes) != 0) {
		kwb_log(KWB_LOG_WARN, "node",
		    "event=upstream_unreadable id=%s bytes=%zu", row->key,
		    row->value_bytes);
		kwb_registry_remove(&node->registry, row->key);
		return;
	}
	is_known = kwb_registry_find(&node->registry, row->key) != NULL;
	upstream = kwb_registry_put(&node->registry, &status);
	if (upstream == NULL) {
		kwb_log(KWB_LOG_ERROR, "node",
		    "event=upstream_not_taken id=%s error=%s", row->key,
		    kwb_error_name(KWB_ERR_MEMORY));
		kwb_upstream_status_finish(&status);
		return;
	}
	if (!is_known || status.draining)
		kwb_log(KWB_LOG_INFO, "node",
		    "event=upstream id=%s service=%s state=%s", status.id,
		    status.service, status.draining ? "draining" : "ready");
	kwb_upstream_status_finish(&status);
	kwb_weight_updater_on_upstream(&node->weight_updater, upstream);
	kwb_batches_dispatch(&node->batches);
}

/* Removes those whose entries have not come back in time after an outage. */
static void
remove_absent_upstreams(struct kwb_node *node)
{
	uint64_t now_ns = kwb_clock_now_ns();
	uint32_t i;

	for (i = node->registry.count; i > 0; i--) {
		struct kwb_upstream *upstream = node->registry.upstreams[i - 1];

		if (upstream->listed && upstream->removal_ns != 0 &&
		    upstream->removal_ns <= now_ns) {
			kwb_log(KWB_LOG_INFO, "node",
			    "event=upstream_gone id=%s", upstream->status.id);
			kwb_registry_remove(
			    &node->registry, upstream->status.id);
		}
	}
}

bool
node_is_ready(const struct kwb_node *node)
{
	return node->stop_deadline_ns == 0 && node->config != NULL &&
	    node->upstream_follower.synced && node->batches.follower.synced &&
	    kwb_clock_now_ns() - node->store->last_answer_ns <
	    KWB_READY_STORE_AGE_NS;
}

/* The end of a stop is not found later than it comes. */
static void
node_arm_timer(struct kwb_node *node, uint64_t now_ns)
{
	uint64_t check_ns = now_ns + KWB_NODE_CHECK_NS;

	if (node->stop_deadline_ns > now_ns &&
	    node->stop_deadline_ns < check_ns)
		check_ns = node->stop_deadline_ns;
	kwb_timer_arm(node->timer, check_ns);
}

static void
node_on_timer(int fd, short what, void *context)
{
	struct kwb_node *node = context;
	uint64_t now_ns = kwb_clock_now_ns();

	(void)fd;
	(void)what;
	remove_absent_upstreams(node);
	node_check_limits(node);
	kwb_access_keep_proof(&node->access);
	node->batches.fleet_nodes = kwb_peers_estimate_nodes(&node->peers);
	kwb_duties_check(&node->duties, node->batches.fleet_nodes);
	if (node->stop_deadline_ns != 0 && node_check_stop(node, now_ns)) {
		kwb_log(KWB_LOG_INFO, "node",
		    "event=stopped after_ms=%llu busy=%u",
		    (unsigned long long)((now_ns - node->stop_started_ns) /
			KWB_MS_NS),
		    node->busy_callers_count);
		node->on_stopped(node->context);
		return;
	}
	node_arm_timer(node, now_ns);
}

/* A heartbeat may have been lost on the silent path: sends one at once. */
static void
detour_on_change(void *context)
{
	struct kwb_node *node = context;

	kwb_batches_send_heartbeat(&node->batches);
}

static int
node_listen(struct kwb_node *node)
{
	const struct kwb_node_settings *settings = node->settings;
	int code;

	code = caller_listen(
	    node, &settings->listen, CALLER_PORT_REQUESTS, &node->listener);
	if (code == 0)
		code = caller_listen(node, &settings->ready, CALLER_PORT_READY,
		    &node->ready_listener);
	if (code == 0 && settings->metrics.port != 0)
		code = caller_listen(node, &settings->metrics,
		    CALLER_PORT_METRICS, &node->metrics_listener);
	return code;
}

/* Starts the parts that use the store, and the followers of its tables. */
static int
node_init_components(struct kwb_node *node)
{
	int code;

	code = kwb_batches_init(&node->batches, &node->batch_env);
	if (code == 0)
		code = kwb_weight_updater_init(
		    &node->weight_updater, &node->batch_env, &node->batches);
	if (code == 0)
		code = kwb_store_watchdog_init(
		    &node->store_watchdog, node->base, node->store);
	if (code == 0)
		code = kwb_relay_init(
		    &node->relay, node->base, node->settings, node->store);
	node->relay.pairs_max = node->sockets.relay_pairs;
	if (code == 0)
		code = kwb_peers_init(
		    &node->peers, node->base, node->settings, node->store);
	if (code == 0)
		code = kwb_detour_init(&node->detour, node->base, node->store,
		    &node->peers, detour_on_change, node);
	if (code == 0)
		code = kwb_follower_init(&node->operator_follower, node->base,
		    node->store, node->schema->operator_table, operator_on_row,
		    NULL, node);
	node->operator_follower.on_proof = operator_on_proof;
	if (code == 0)
		code = kwb_follower_init(&node->upstream_follower, node->base,
		    node->store, node->schema->upstream_table, upstream_on_row,
		    NULL, node);
	return code;
}

int
kwb_node_init(struct kwb_node *node, struct event_base *base,
    const struct kwb_node_settings *settings, struct kwb_store *store,
    const struct kwb_message_codec *codec,
    const struct kwb_document_schema *schema, void (*on_stopped)(void *context),
    void *context)
{
	int code;

	memset(node, 0, sizeof(*node));
	node->base = base;
	node->settings = settings;
	node->store = store;
	node->codec = codec;
	node->schema = schema;
	node->on_stopped = on_stopped;
	node->context = context;
	node->incarnation = kwb_clock_wall_ms();
	node->started_ns = kwb_clock_now_ns();
	TAILQ_INIT(&node->callers);
	TAILQ_INIT(&node->waiting_callers);
	node->access = (struct kwb_access){.settings = settings,
	    .config = (const struct kwb_node_config *const *)&node->config,
	    .follower = &node->operator_follower};
	kwb_registry_init(&node->registry);
	code = kwb_client_init(&node->client, base);
	if (code == 0)
		code = node_init_limits(node);
	node->client.history = &node->conn_history;
	node->client.id_header = codec->id_header;
	if (code == 0)
		code = kwb_room_init(&node->room, base, &node->registry);
	if (code != 0)
		return code;
	node->forward = (struct kwb_forward_env){.base = base,
	    .client = &node->client,
	    .registry = &node->registry,
	    .codec = codec,
	    .failure_domain = settings->failure_domain,
	    .prefixes = &node->prefixes,
	    .room = &node->room};
	node->batch_env = (struct kwb_batch_env){.base = base,
	    .store = store,
	    .forward = &node->forward,
	    .config = (const struct kwb_node_config *const *)&node->config,
	    .config_follower = &node->operator_follower,
	    .settings = settings,
	    .memory = &node->memory,
	    .incarnation = node->incarnation};
	node->timer = kwb_timer_new(base, node_on_timer, node);
	if (node->timer == NULL)
		return KWB_ERR_MEMORY;
	kwb_timer_arm(node->timer, kwb_clock_now_ns() + KWB_NODE_CHECK_NS);
	kwb_duties_init(&node->duties, node);
	code = node_listen(node);
	if (code == 0)
		code = node_init_components(node);
	kwb_log(KWB_LOG_INFO, "node",
	    "event=start node=%s failure_domain=%s incarnation=%llu error=%s",
	    settings->node, settings->failure_domain,
	    (unsigned long long)node->incarnation, kwb_error_name(code));
	return code;
}

void
kwb_node_finish(struct kwb_node *node)
{
	while (!TAILQ_EMPTY(&node->callers))
		caller_free(TAILQ_FIRST(&node->callers));
	evconnlistener_free(node->listener);
	evconnlistener_free(node->ready_listener);
	if (node->metrics_listener != NULL)
		evconnlistener_free(node->metrics_listener);
	kwb_detour_finish(&node->detour);
	kwb_peers_finish(&node->peers);
	kwb_relay_finish(&node->relay);
	kwb_store_watchdog_finish(&node->store_watchdog);
	kwb_follower_finish(&node->operator_follower);
	kwb_follower_finish(&node->upstream_follower);
	kwb_duties_finish(&node->duties);
	kwb_weight_updater_finish(&node->weight_updater);
	kwb_batches_finish(&node->batches);
	event_free(node->timer);
	event_free(node->memory_timer);
	kwb_room_finish(&node->room);
	kwb_client_finish(&node->client);
	kwb_registry_finish(&node->registry);
	kwb_prefix_map_finish(&node->prefixes);
	if (node->config != NULL)
		kwb_node_config_finish(node->config);
	free(node->config);
}
