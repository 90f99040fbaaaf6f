/*
 * Orders to upstreams, and the questions that settle what became of them. An
 * order names the incarnation it means and the count of orders seen; after one
 * without an answer the upstream's state is read before the next.
 */
#include <event2/buffer.h>
#include <string.h>

#include "mover.h"

void
mover_exchange_close(struct kwb_replica *home)
{
	if (home->asking || home->ordering)
		kwb_exchange_finish(&home->exchange);
	home->asking = false;
	home->ordering = false;
}

/* The state as asked for: how many orders, and which weights are there. */
static void
report_done(struct kwb_replica *home, const struct kwb_message *message)
{
	struct kwb_weight_updater *mover = home->mover;
	struct kwb_upstream *upstream = mover_listed(mover, home->id);
	struct kwb_upstream_report report;
	uint64_t now_ns = kwb_clock_now_ns();
	uint32_t i;

	if (upstream == NULL ||
	    mover->env->forward->dialect->read_report(message, &report) != 0)
		return;
	home->order_seq = report.order_seq;
	home->seq_known = true;
	for (i = 0; i < report.models_count; i++)
		if (report.models[i].version >
		    kwb_upstream_version(upstream, report.models[i].name))
			kwb_upstream_set_version(upstream,
			    report.models[i].name, report.models[i].version);
	if (!report.busy ||
	    kwb_upstream_version(upstream, home->model) >= home->target)
		home->ordered = false;
	home->busy_until_ns =
	    report.busy ? now_ns + KWB_WEIGHT_LOAD_RECHECK_NS : now_ns;
	home->look_ns = now_ns + KWB_WEIGHT_LOAD_RECHECK_NS;
}

static void
order_done(struct kwb_replica *home, const struct kwb_message *message)
{
	struct kwb_weight_updater *mover = home->mover;
	struct kwb_upstream *upstream = mover_listed(mover, home->id);
	uint64_t now_ns = kwb_clock_now_ns();

	kwb_log(KWB_LOG_INFO, "mover",
	    "event=order_answered upstream=%s model=%s version=%llu status=%u",
	    home->id, home->model, (unsigned long long)home->target,
	    message->status);
	switch (message->status) {
	case 202:
		home->order_seq++;
		home->ordered = true;
		home->ordered_ns = now_ns;
		home->busy_until_ns = now_ns + KWB_WEIGHT_LOAD_CHECK_NS;
		home->look_ns = now_ns + KWB_WEIGHT_LOAD_CHECK_NS;
		mover_home_apply(mover, home);
		mover_home_write(mover);
		kwb_batches_reconsider(mover->batches);
		return;
	case 200:
		home->ordered = false;
		if (upstream != NULL)
			kwb_upstream_set_version(
			    upstream, home->model, home->target);
		mover_home_write(mover);
		return;
	case 412:
		kwb_store_lease_lose(&mover->lease);
		break;
	default:
		break;
	}
	home->seq_known = false;
	home->ordered = false;
	home->busy_until_ns = now_ns + KWB_WEIGHT_LOAD_RETRY_NS;
}

static void
exchange_done(struct kwb_exchange *exchange, int error)
{
	struct kwb_replica *home = exchange->context;
	bool ordering = home->ordering;
	struct kwb_message answer = exchange->answer;

	kwb_message_init(&exchange->answer);
	mover_exchange_close(home);
	if (error != 0) {
		kwb_log(KWB_LOG_WARN, "mover", "event=%s upstream=%s error=%s",
		    ordering ? "order_in_doubt" : "no_report", home->id,
		    kwb_error_name(error));
		home->seq_known = false;
		home->busy_until_ns =
		    kwb_clock_now_ns() + KWB_WEIGHT_LOAD_RETRY_NS;
	} else if (ordering) {
		order_done(home, &answer);
	} else {
		report_done(home, &answer);
	}
	kwb_message_finish(&answer);
	mover_look_soon(home->mover);
}

static const struct kwb_exchange_ops exchange_ops = {
    .on_done = exchange_done,
};

static void
exchange_open(struct kwb_replica *home, const struct kwb_upstream *upstream,
    struct evbuffer *out)
{
	memset(&home->exchange, 0, sizeof(home->exchange));
	home->exchange.ops = &exchange_ops;
	home->exchange.context = home;
	home->exchange.deadline_ns =
	    kwb_clock_now_ns() + KWB_ORDER_TIMEOUT_MS * KWB_MS_NS;
	if (kwb_exchange_start(&home->exchange,
		home->mover->env->forward->client, &upstream->status.address,
		out) != 0) {
		home->asking = false;
		home->ordering = false;
		home->seq_known = false;
		home->busy_until_ns =
		    kwb_clock_now_ns() + KWB_WEIGHT_LOAD_RETRY_NS;
	}
	evbuffer_free(out);
}

void
mover_report_start(
    struct kwb_replica *home, const struct kwb_upstream *upstream)
{
	struct evbuffer *out = evbuffer_new();

	home->asking = true;
	home->mover->env->forward->dialect->write_report_request(
	    &upstream->status.address, out);
	exchange_open(home, upstream, out);
}

void
mover_order_start(struct kwb_replica *home, const struct kwb_upstream *upstream,
    uint64_t version)
{
	struct kwb_weight_updater *mover = home->mover;
	struct kwb_order order = {.model = home->model,
	    .version = version,
	    .holder = mover->env->settings->node,
	    .fence = kwb_store_lease_fence(&mover->lease),
	    .expect_seq = home->order_seq,
	    .expect_incarnation = upstream->status.id};
	struct evbuffer *out;

	if (order.fence == 0)
		return;
	kwb_log(KWB_LOG_INFO, "mover",
	    "event=order upstream=%s model=%s version=%llu from=%llu "
	    "fence=%llu seq=%llu",
	    home->id, home->model, (unsigned long long)version,
	    (unsigned long long)kwb_upstream_version(upstream, home->model),
	    (unsigned long long)order.fence,
	    (unsigned long long)order.expect_seq);
	kwb_metric_add(KWB_METRIC_SWAPS, 1);
	home->target = version;
	home->ordering = true;
	out = evbuffer_new();
	mover->env->forward->dialect->write_order(
	    &order, &upstream->status.address, out);
	exchange_open(home, upstream, out);
}
