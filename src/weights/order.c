/*
 * Weight orders on the agent that carries them out. The agent refuses an order
 * whose fencing token is below the highest that it has seen, also when the
 * engine ignores tokens. It accepts none before it has read the highest token
 * from the platform's table.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "../agent/agent.h"

#define URL_MAX_BYTES 512

static struct order *order_next(struct kwb_agent *agent);
static void order_execute(struct kwb_agent *agent, const struct order *order,
    Kwb__Wire__OrderReply *reply);
static struct order_fence *fence_get(struct orders *orders, const char *plan);
static int fence_read(struct kwb_agent *agent, struct order_fence *fence);
static int engine_swap(struct kwb_agent *agent, const Kwb__Wire__Order *order);

/* Queues an order for order_run(), which frees the frame. */
void
order_accept(struct kwb_agent *agent, uint64_t link, Kwb__Wire__Frame *frame)
{
	struct orders *orders = &agent->orders;
	struct order *order = calloc(1, sizeof(*order));

	if (order == NULL) {
		kwb_frame_free(frame);
		return;
	}
	order->link = link;
	order->frame = frame;
	order->deadline_ns = kwb_clock_now_ns() + KWB_LEASE_MS * KWB_MS_NS / 2;
	pthread_mutex_lock(&orders->lock);
	STAILQ_INSERT_TAIL(&orders->waiting, order, next);
	pthread_cond_signal(&orders->changed);
	pthread_mutex_unlock(&orders->lock);
}

/* Thread that executes orders one by one and replies to each. */
void *
order_run(void *argument)
{
	struct kwb_agent *agent = argument;
	struct order *order;

	kwb_current_lists_register_thread();
	while ((order = order_next(agent)) != NULL) {
		const Kwb__Wire__Order *wanted = order->frame->order;
		Kwb__Wire__OrderReply reply = KWB__WIRE__ORDER_REPLY__INIT;
		KWB_FRAME_DECLARE(frame, ORDER_REPLY, order_reply, reply);

		reply.request = wanted->request;
		order_execute(agent, order, &reply);
		kwb_log(KWB_LOG_INFO, "weights",
		    "event=order plan=%s model=%s version=%llu token=%llu "
		    "result=%s",
		    wanted->plan, wanted->model,
		    (unsigned long long)wanted->version,
		    (unsigned long long)wanted->fencing_token,
		    kwb_error_name(reply.error));
		kwb_link_send(&agent->loop, order->link, &frame);
		kwb_frame_free(order->frame);
		free(order);
	}
	kwb_current_lists_unregister_thread();
	return NULL;
}

static struct order *
order_next(struct kwb_agent *agent)
{
	struct orders *orders = &agent->orders;
	struct order *order;

	pthread_mutex_lock(&orders->lock);
	while ((order = STAILQ_FIRST(&orders->waiting)) == NULL &&
	    !atomic_load(&agent->stopping))
		kwb_cond_wait_until(&orders->changed, &orders->lock,
		    kwb_clock_now_ns() + 200 * KWB_MS_NS);
	if (order != NULL)
		STAILQ_REMOVE_HEAD(&orders->waiting, next);
	pthread_mutex_unlock(&orders->lock);
	return order;
}

/* Checks the fencing token and the deadline, then swaps if that is needed. */
static void
order_execute(struct kwb_agent *agent, const struct order *order,
    Kwb__Wire__OrderReply *reply)
{
	const Kwb__Wire__Order *wanted = order->frame->order;
	struct order_fence *fence = fence_get(&agent->orders, wanted->plan);
	struct model_state state = {0};
	int error;

	if (fence == NULL) {
		reply->error = KWB_ERR_MEMORY;
		return;
	}
	error = fence_read(agent, fence);
	reply->fencing_token = fence->token;
	if (error == 0 && wanted->fencing_token < fence->token) {
		kwb_metric_add(KWB_METRIC_REFUSED_FENCED, 1);
		error = KWB_ERR_CALL_FENCED;
	}
	if (error == 0) {
		fence->token = wanted->fencing_token;
		/* The process may have been suspended; the order is outdated
		 * then. */
		if (kwb_clock_now_ns() >= order->deadline_ns)
			error = KWB_ERR_CALL_DEADLINE;
	}
	upstream_find_model(agent, wanted->model, &state);
	if (error == 0 && state.version < wanted->version) {
		error = engine_swap(agent, wanted);
		kwb_metric_add(error ? KWB_METRIC_WEIGHT_SWAP_FAILURES
				     : KWB_METRIC_WEIGHT_SWAPS,
		    1);
		upstream_poll(agent);
		upstream_find_model(agent, wanted->model, &state);
	}
	reply->error = error;
	reply->version = state.version;
}

/* Finds or adds the plan's fence; NULL when there are too many plans. */
static struct order_fence *
fence_get(struct orders *orders, const char *plan)
{
	struct order_fence *fence;
	unsigned i;

	for (i = 0; i < orders->fences_count; i++)
		if (strcmp(orders->fences[i].plan, plan) == 0)
			return &orders->fences[i];
	if (orders->fences_count == KWB_PLANS_MAX)
		return NULL;
	fence = &orders->fences[orders->fences_count++];
	kwb_text_copy(fence->plan, sizeof(fence->plan), plan);
	return fence;
}

/* Reads the lease's token from the table, once. */
static int
fence_read(struct kwb_agent *agent, struct order_fence *fence)
{
	char name[KWB_KEY_MAX_BYTES];
	uint64_t token;

	if (fence->known)
		return 0;
	snprintf(name, sizeof(name), "leases/weights/%s/%s", fence->plan,
	    agent->settings->failure_domain);
	if (kwb_lease_read_token(&agent->platform, name, &token) != 0)
		return KWB_ERR_WEIGHTS_FENCE_UNKNOWN;
	fence->known = true;
	fence->token = token;
	return 0;
}

/* Tells the engine to swap and waits until it has. */
static int
engine_swap(struct kwb_agent *agent, const Kwb__Wire__Order *order)
{
	char url[URL_MAX_BYTES];
	struct kwb_http_request request = {
	    .method = "POST",
	    .url = url,
	    .content_type = "application/json",
	    .timeout_ms = KWB_SWAP_TIMEOUT_MS,
	};
	struct kwb_http_answer answer;
	json_t *root;
	char *body;
	int error;

	snprintf(url, sizeof(url), "%s/orders", agent->settings->upstream);
	root = json_pack("{s:s, s:I, s:I}", "model", order->model, "version",
	    (json_int_t)order->version, "fencing_token",
	    (json_int_t)order->fencing_token);
	body = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	request.body = body;
	request.body_bytes = strlen(body);
	error = kwb_http_do(&request, &answer);
	if (error != 0 || answer.status != 200)
		error = answer.status == 409 ? KWB_ERR_CALL_FENCED
					     : KWB_ERR_WEIGHTS_SWAP;
	kwb_http_answer_finish(&answer);
	free(body);
	return error;
}
