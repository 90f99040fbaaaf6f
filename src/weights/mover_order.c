/*
 * Orders to upstreams to load weights, and status requests. An order names the
 * upstream's incarnation and the number of orders that it has accepted. After
 * an order without an answer the upstream's state is read before the next one.
 */
#include <event2/buffer.h>
#include <string.h>

#include "mover.h"

void
updater_exchange_close(struct kwb_replica *replica)
{
	if (replica->report_pending || replica->order_pending)
		kwb_exchange_finish(&replica->exchange);
	replica->report_pending = false;
	replica->order_pending = false;
}

/* Takes over the upstream's order count, versions and progress. */
static void
report_on_answer(struct kwb_replica *replica, const struct kwb_message *message)
{
	struct kwb_weight_updater *updater = replica->updater;
	struct kwb_upstream *upstream =
	    updater_find_listed(updater, replica->id);
	struct kwb_upstream_report report;
	uint64_t now_ns = kwb_clock_now_ns();
	uint32_t i;

	if (upstream == NULL ||
	    updater->env->forward->codec->parse_report(message, &report) != 0)
		return;
	replica->order_seq = report.order_seq;
	replica->order_seq_known = true;
	for (i = 0; i < report.models.count; i++) {
		const struct kwb_upstream_model *model = &report.models.list[i];

		if (model->version >
		    kwb_upstream_version(upstream, model->name))
			kwb_upstream_set_version(
			    upstream, model->name, model->version);
	}
	kwb_upstream_models_finish(&report.models);
	if (!report.busy ||
	    kwb_upstream_version(upstream, replica->model) >=
		replica->target_version)
		replica->load_pending = false;
	replica->busy_until_ns =
	    report.busy ? now_ns + KWB_WEIGHT_LOAD_RECHECK_NS : now_ns;
	replica->check_ns = now_ns + KWB_WEIGHT_LOAD_RECHECK_NS;
}

/* Answers here carry no id of a request, but may name who answers. */
static void
note_leaving(struct kwb_replica *replica, const struct kwb_message *message)
{
	struct kwb_weight_updater *updater = replica->updater;
	struct kwb_upstream *upstream =
	    updater_find_listed(updater, replica->id);
	struct kwb_upstream_answer answer;

	if (upstream == NULL)
		return;
	updater->env->forward->codec->parse_answer(message, &answer);
	kwb_upstream_note_answer(
	    upstream, replica->incarnation_ms, "", &answer);
}

/* Orders and status requests have no id: an answer with one is a late copy. */
static bool
is_of_another_request(
    const struct kwb_replica *replica, const struct kwb_message *message)
{
	struct kwb_upstream_answer answer;

	replica->updater->env->forward->codec->parse_answer(message, &answer);
	return !kwb_answer_is_to_request(&answer, "");
}

static void
order_on_answer(struct kwb_replica *replica, const struct kwb_message *message)
{
	struct kwb_weight_updater *updater = replica->updater;
	struct kwb_upstream *upstream =
	    updater_find_listed(updater, replica->id);
	uint64_t now_ns = kwb_clock_now_ns();

	kwb_log(KWB_LOG_INFO, "mover",
	    "event=order_answered upstream=%s model=%s version=%llu status=%u",
	    replica->id, replica->model,
	    (unsigned long long)replica->target_version, message->status);
	switch (message->status) {
	case 202:
		replica->order_seq++;
		replica->load_pending = true;
		replica->order_accepted_ns = now_ns;
		replica->busy_until_ns = now_ns + KWB_WEIGHT_LOAD_CHECK_NS;
		replica->check_ns = now_ns + KWB_WEIGHT_LOAD_CHECK_NS;
		updater_assignment_apply(updater, replica);
		updater_rows_write(updater);
		kwb_batches_rebalance(updater->batches);
		return;
	case 200:
		replica->load_pending = false;
		if (upstream != NULL)
			kwb_upstream_set_version(
			    upstream, replica->model, replica->target_version);
		updater_rows_write(updater);
		return;
	case 412:
		kwb_store_lease_mark_lost(&updater->lease);
		break;
	default:
		break;
	}
	replica->order_seq_known = false;
	replica->load_pending = false;
	replica->busy_until_ns = now_ns + KWB_WEIGHT_LOAD_RETRY_NS;
}

static void
exchange_on_done(struct kwb_exchange *exchange, int error)
{
	struct kwb_replica *replica = exchange->context;
	bool was_order = replica->order_pending;
	struct kwb_message answer = exchange->answer;

	kwb_message_init(&exchange->answer);
	updater_exchange_close(replica);
	if (error == 0)
		note_leaving(replica, &answer);
	if (error == 0 && is_of_another_request(replica, &answer))
		error = KWB_ERR_NET_MALFORMED;
	if (error != 0) {
		kwb_log(KWB_LOG_WARN, "mover", "event=%s upstream=%s error=%s",
		    was_order ? "order_in_doubt" : "no_report", replica->id,
		    kwb_error_name(error));
		replica->order_seq_known = false;
		replica->busy_until_ns =
		    kwb_clock_now_ns() + KWB_WEIGHT_LOAD_RETRY_NS;
	} else if (was_order) {
		order_on_answer(replica, &answer);
	} else {
		report_on_answer(replica, &answer);
	}
	kwb_message_finish(&answer);
	updater_check_soon(replica->updater);
}

static const struct kwb_exchange_ops exchange_ops = {
    .on_done = exchange_on_done,
};

/* Sends the request in `out` and frees it. */
static void
exchange_send(struct kwb_replica *replica, const struct kwb_upstream *upstream,
    struct evbuffer *out)
{
	memset(&replica->exchange, 0, sizeof(replica->exchange));
	replica->exchange.ops = &exchange_ops;
	replica->exchange.context = replica;
	replica->exchange.request_id = "";
	replica->incarnation_ms = upstream->status.incarnation_ms;
	replica->exchange.deadline_ns =
	    kwb_clock_now_ns() + KWB_ORDER_TIMEOUT_MS * KWB_MS_NS;
	if (kwb_exchange_start(&replica->exchange,
		replica->updater->env->forward->client,
		&upstream->status.address, out) != 0) {
		replica->report_pending = false;
		replica->order_pending = false;
		replica->order_seq_known = false;
		replica->busy_until_ns =
		    kwb_clock_now_ns() + KWB_WEIGHT_LOAD_RETRY_NS;
	}
	evbuffer_free(out);
}

void
updater_report_start(
    struct kwb_replica *replica, const struct kwb_upstream *upstream)
{
	struct evbuffer *out = evbuffer_new();

	replica->report_pending = true;
	replica->updater->env->forward->codec->write_report_request(
	    &upstream->status.address, out);
	exchange_send(replica, upstream, out);
}

void
updater_order_start(struct kwb_replica *replica,
    const struct kwb_upstream *upstream, uint64_t version)
{
	struct kwb_weight_updater *updater = replica->updater;
	struct kwb_weight_order order = {.model = replica->model,
	    .version = version,
	    .holder = updater->env->settings->node,
	    .fence = kwb_store_lease_fence(&updater->lease),
	    .expect_order_seq = replica->order_seq,
	    .expect_upstream_id = upstream->status.id};
	struct evbuffer *out;

	if (order.fence == 0)
		return;
	kwb_log(KWB_LOG_INFO, "mover",
	    "event=order upstream=%s model=%s version=%llu from=%llu "
	    "fence=%llu seq=%llu",
	    replica->id, replica->model, (unsigned long long)version,
	    (unsigned long long)kwb_upstream_version(upstream, replica->model),
	    (unsigned long long)order.fence,
	    (unsigned long long)order.expect_order_seq);
	kwb_metric_add(KWB_METRIC_WEIGHT_SWAPS, 1);
	replica->target_version = version;
	replica->order_pending = true;
	out = evbuffer_new();
	updater->env->forward->codec->write_weight_order(
	    &order, &upstream->status.address, out);
	exchange_send(replica, upstream, out);
}
