/*
 * Requests to servers and their answers, over a pool of connections that carry
 * one exchange at a time. A connection returns to the pool only after a whole
 * answer to its request with no bytes behind it.
 *
 * A server may send a second copy of an answer just ahead of a later one on the
 * same connection. An id names a request, which may be sent more than once, so
 * a connection carries each id once: an answer with the id of an earlier
 * request of the connection is then certainly a copy, and is dropped.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

struct kwb_pooled_conn {
	struct kwb_conn conn;
	struct kwb_client *client;
	struct kwb_address address;
	struct kwb_exchange *exchange;	     /* NULL while idle */
	uint64_t idle_deadline_ns;	     /* closed unless used before */
	uint64_t sent_ids[KWB_CONN_IDS_MAX]; /* hashes, of the newest ones */
	uint32_t sent_count;		     /* requests with or without id */
	bool is_dropping; /* what is read is a copy of an earlier answer */
	TAILQ_ENTRY(kwb_pooled_conn) entry;
};

static void
pooled_free(struct kwb_pooled_conn *pooled)
{
	pooled->client->conns_count--;
	free(pooled);
}

/* Notes why a connection ends; the one opened after it is logged with that. */
static void
pooled_note_end(const struct kwb_pooled_conn *pooled, enum kwb_conn_cause why)
{
	if (pooled->client->history != NULL)
		kwb_conn_history_end(
		    pooled->client->history, &pooled->address, why);
}

/* Closes an idle connection and frees it. */
static void
pooled_close_idle(struct kwb_pooled_conn *pooled, enum kwb_conn_cause why)
{
	pooled_note_end(pooled, why);
	TAILQ_REMOVE(&pooled->client->idle_conns, pooled, entry);
	pooled->client->idle_count--;
	kwb_conn_finish(&pooled->conn);
	pooled_free(pooled);
}

static bool
pooled_is_to(
    const struct kwb_pooled_conn *pooled, const struct kwb_address *address)
{
	return pooled->address.port == address->port &&
	    strcmp(pooled->address.ip, address->ip) == 0;
}

static bool
pooled_has_sent(const struct kwb_pooled_conn *pooled, const char *id)
{
	uint64_t hash = kwb_text_hash(id, 0);
	uint32_t i;

	for (i = 0; i < pooled->sent_count && i < KWB_CONN_IDS_MAX; i++)
		if (pooled->sent_ids[i] == hash)
			return true;
	return false;
}

static void
pooled_note_sent(struct kwb_pooled_conn *pooled, const char *id)
{
	pooled->sent_ids[pooled->sent_count++ % KWB_CONN_IDS_MAX] =
	    kwb_text_hash(id, 0);
}

static bool
exchange_checks_ids(const struct kwb_exchange *exchange)
{
	return exchange->request_id != NULL &&
	    exchange->client->id_header != NULL;
}

/* Whether the answer names the request, or neither has an id. */
static bool
exchange_is_named_by(
    const struct kwb_exchange *exchange, const struct kwb_message *answer)
{
	const char *id;

	if (!exchange_checks_ids(exchange))
		return true;
	id = kwb_message_header(answer, exchange->client->id_header);
	return strcmp(id != NULL ? id : "", exchange->request_id) == 0;
}

/*
 * Whether this is a copy of the answer to an earlier request of the connection.
 * An error without an id is none: that may be a refusal by whoever took the
 * connection.
 */
static bool
pooled_reads_late_answer(const struct kwb_pooled_conn *pooled)
{
	const struct kwb_exchange *exchange = pooled->exchange;
	const struct kwb_message *answer = &pooled->conn.message;
	const char *id;

	if (!exchange_checks_ids(exchange) ||
	    exchange_is_named_by(exchange, answer))
		return false;
	id = kwb_message_header(answer, exchange->client->id_header);
	if (id == NULL && answer->status >= 400)
		return false;
	return pooled_has_sent(pooled, id != NULL ? id : "");
}

/*
 * How long a connection may stay idle: the time in the server's Keep-Alive
 * header, or a default, less a margin; 0: close it.
 */
static uint64_t
idle_limit_ns(const struct kwb_message *message)
{
	const char *text = kwb_message_header(message, "Keep-Alive");
	const char *seconds = text ? strstr(text, "timeout=") : NULL;
	uint64_t limit_ms = KWB_IDLE_DEFAULT_MS;

	if (seconds != NULL)
		limit_ms =
		    strtoull(seconds + strlen("timeout="), NULL, 10) * 1000;
	if (limit_ms <= KWB_IDLE_MARGIN_MS)
		return 0;
	return (limit_ms - KWB_IDLE_MARGIN_MS) * KWB_MS_NS;
}

/* Takes the connection from the exchange, and frees the timer. */
static struct kwb_pooled_conn *
exchange_detach_conn(struct kwb_exchange *exchange)
{
	struct kwb_pooled_conn *pooled = exchange->pooled;

	exchange->pooled = NULL;
	if (exchange->timer != NULL)
		event_free(exchange->timer);
	exchange->timer = NULL;
	return pooled;
}

/*
 * Gives the exchange up before its answer is whole. After an ordinary close the
 * kernel would go on sending what the path still holds up, and the request
 * would run at a time at which nobody wants it any more.
 */
static void
exchange_abort(struct kwb_exchange *exchange, enum kwb_conn_cause why)
{
	struct kwb_pooled_conn *pooled = exchange_detach_conn(exchange);

	if (pooled == NULL)
		return;
	pooled_note_end(pooled, why);
	kwb_conn_reset(&pooled->conn);
	pooled_free(pooled);
}

/* After a whole answer: keeps the connection for up to idle_ns; 0: closes. */
static void
exchange_release_conn(struct kwb_exchange *exchange, uint64_t idle_ns)
{
	struct kwb_pooled_conn *pooled = exchange_detach_conn(exchange);
	struct kwb_client *client = exchange->client;

	if (idle_ns == 0 || client->idle_count >= KWB_IDLE_CONNS_MAX ||
	    evbuffer_get_length(bufferevent_get_input(pooled->conn.bev)) > 0 ||
	    evbuffer_get_length(kwb_conn_output(&pooled->conn)) > 0) {
		pooled_note_end(pooled, KWB_CONN_CLOSED);
		kwb_conn_finish(&pooled->conn);
		pooled_free(pooled);
		return;
	}
	pooled->exchange = NULL;
	if (exchange->is_paused)
		bufferevent_enable(pooled->conn.bev, EV_READ);
	pooled->idle_deadline_ns = kwb_clock_now_ns() + idle_ns;
	TAILQ_INSERT_HEAD(&client->idle_conns, pooled, entry);
	client->idle_count++;
	kwb_conn_read_next(&pooled->conn);
}

static void
exchange_end(struct kwb_exchange *exchange, int error)
{
	exchange_abort(exchange,
	    error == KWB_ERR_NET_STALE || error == KWB_ERR_NET_CLOSED
		? KWB_CONN_CLOSED
		: KWB_CONN_RESET);
	exchange->ops->on_done(exchange, error);
}

static void
pooled_on_head(struct kwb_conn *conn)
{
	struct kwb_pooled_conn *pooled = conn->context;
	struct kwb_exchange *exchange = pooled->exchange;

	if (exchange == NULL) {
		/* An answer without a request; it may never end. */
		pooled_close_idle(pooled, KWB_CONN_RESET);
		return;
	}
	if (pooled_reads_late_answer(pooled)) {
		pooled->is_dropping = true;
		conn->is_streaming = true;
		kwb_metric_add(KWB_METRIC_LATE_ANSWERS, 1);
		kwb_log(KWB_LOG_WARN, "conn",
		    "event=late_answer from=%s:%u id=%s status=%u",
		    pooled->address.ip, pooled->address.port,
		    exchange->request_id, conn->message.status);
		return;
	}
	if (exchange->max_silence_ns != 0)
		exchange->silence_deadline_ns =
		    kwb_clock_now_ns() + exchange->max_silence_ns;
	if (exchange->ops->on_head != NULL)
		exchange->ops->on_head(exchange);
	if (pooled->exchange == exchange)
		conn->is_streaming = exchange->is_streaming;
}

static void
pooled_on_data(struct kwb_conn *conn)
{
	struct kwb_pooled_conn *pooled = conn->context;
	struct kwb_exchange *exchange = pooled->exchange;

	if (pooled->is_dropping) {
		conn->message.body.used_bytes = 0;
		return;
	}
	if (exchange->max_silence_ns != 0)
		exchange->silence_deadline_ns =
		    kwb_clock_now_ns() + exchange->max_silence_ns;
	exchange->ops->on_data(exchange);
}

/*
 * Moves the answer to the exchange first, so that on_done() can use the
 * connection for another exchange.
 */
static void
pooled_on_message(struct kwb_conn *conn)
{
	struct kwb_pooled_conn *pooled = conn->context;
	struct kwb_exchange *exchange = pooled->exchange;
	bool keep = conn->message.keep_alive;
	uint64_t idle_ns = idle_limit_ns(&conn->message);

	if (exchange == NULL) {
		/* An answer without a request. */
		pooled_close_idle(pooled, KWB_CONN_RESET);
		return;
	}
	if (pooled->is_dropping) {
		pooled->is_dropping = false;
		conn->is_head_reported = false;
		kwb_conn_read_next(conn);
		return;
	}
	/* After an answer that names no request, a copy couldn't be told. */
	keep = keep && exchange_is_named_by(exchange, &conn->message);
	kwb_message_finish(&exchange->answer);
	exchange->answer = conn->message;
	kwb_message_init(&conn->message);
	exchange_release_conn(exchange, keep ? idle_ns : 0);
	exchange->ops->on_done(exchange, 0);
}

static void
pooled_log_fault(const struct kwb_pooled_conn *pooled)
{
	const char *id = pooled->exchange->request_id;

	kwb_log(KWB_LOG_WARN, "conn",
	    "event=malformed_answer from=%s:%u id=%s reason=%s",
	    pooled->address.ip, pooled->address.port,
	    id != NULL && id[0] != '\0' ? id : "-",
	    kwb_conn_fault(&pooled->conn));
}

static void
pooled_on_close(struct kwb_conn *conn, int error)
{
	struct kwb_pooled_conn *pooled = conn->context;
	struct kwb_exchange *exchange = pooled->exchange;

	if (exchange == NULL) {
		pooled_close_idle(pooled,
		    error == KWB_ERR_NET_CLOSED ? KWB_CONN_CLOSED
						: KWB_CONN_RESET);
		return;
	}
	if (error == KWB_ERR_NET_RESET || error == KWB_ERR_NET_CLOSED)
		error = exchange->is_conn_reused &&
			(!conn->is_head_reported || pooled->is_dropping)
		    ? KWB_ERR_NET_STALE
		    : error;
	if (error == KWB_ERR_NET_MALFORMED)
		pooled_log_fault(pooled);
	exchange_end(exchange, error);
}

static const struct kwb_conn_ops pooled_conn_ops = {
    .on_head = pooled_on_head,
    .on_data = pooled_on_data,
    .on_message = pooled_on_message,
    .on_close = pooled_on_close,
};

static uint64_t
exchange_next_deadline(const struct kwb_exchange *exchange)
{
	uint64_t next_ns = UINT64_MAX;

	if (exchange->pooled == NULL)
		return 0; /* no connection could be opened */
	if (!exchange->pooled->conn.is_connected)
		next_ns = exchange->connect_deadline_ns;
	else if (exchange->silence_deadline_ns != 0 && !exchange->is_paused)
		next_ns = exchange->silence_deadline_ns;
	if (exchange->deadline_ns != 0 && exchange->deadline_ns < next_ns)
		next_ns = exchange->deadline_ns;
	return next_ns;
}

static void
exchange_arm_timer(struct kwb_exchange *exchange)
{
	uint64_t next_ns = exchange_next_deadline(exchange);
	uint64_t check_ns = kwb_clock_now_ns() + KWB_EXCHANGE_CHECK_NS;

	kwb_timer_arm(exchange->timer, next_ns < check_ns ? next_ns : check_ns);
}

/* Ends the exchange at its deadline, or arms again if that has moved. */
static void
exchange_on_timer(int fd, short what, void *context)
{
	struct kwb_exchange *exchange = context;

	(void)fd;
	(void)what;
	if (kwb_clock_now_ns() < exchange_next_deadline(exchange))
		exchange_arm_timer(exchange);
	else
		exchange_end(exchange,
		    kwb_exchange_is_connected(exchange) ? KWB_ERR_NET_TIMEOUT
							: KWB_ERR_NET_CONNECT);
}

/* has_sent_id: whether an idle one was left out for the request's id. */
static struct kwb_pooled_conn *
client_take_idle(struct kwb_client *client, const struct kwb_address *address,
    const char *request_id, bool *has_sent_id)
{
	struct kwb_pooled_conn *pooled;
	uint64_t now_ns = kwb_clock_now_ns();

	TAILQ_FOREACH (pooled, &client->idle_conns, entry) {
		if (!pooled_is_to(pooled, address) ||
		    pooled->idle_deadline_ns <= now_ns)
			continue;
		if (request_id != NULL && pooled_has_sent(pooled, request_id)) {
			*has_sent_id = true;
			continue;
		}
		TAILQ_REMOVE(&client->idle_conns, pooled, entry);
		client->idle_count--;
		return pooled;
	}
	return NULL;
}

static void
pooled_note_open(
    const struct kwb_pooled_conn *pooled, bool wants_new, bool has_sent_id)
{
	enum kwb_conn_cause cause;

	if (pooled->client->history == NULL)
		return;
	cause = kwb_conn_history_open(
	    pooled->client->history, &pooled->address, wants_new);
	if (has_sent_id)
		cause = KWB_CONN_SAME_ID;
	kwb_metric_add(
	    (enum kwb_metric)(KWB_METRIC_CONNS_FIRST + (int)cause), 1);
	kwb_log(KWB_LOG_INFO, "conn", "event=opened to=%s:%u cause=%s",
	    pooled->address.ip, pooled->address.port,
	    kwb_conn_cause_name(cause));
}

static struct kwb_pooled_conn *
pooled_new(struct kwb_client *client, const struct kwb_address *address,
    bool wants_new, bool has_sent_id)
{
	struct kwb_pooled_conn *pooled;

	if (client->conns_max != 0 &&
	    client->conns_count >= client->conns_max &&
	    !TAILQ_EMPTY(&client->idle_conns))
		pooled_close_idle(
		    TAILQ_LAST(&client->idle_conns, kwb_pooled_conns),
		    KWB_CONN_IDLE);
	if (client->conns_max != 0 && client->conns_count >= client->conns_max)
		return NULL;
	pooled = calloc(1, sizeof(*pooled));
	if (pooled == NULL)
		return NULL;
	pooled->client = client;
	pooled->address = *address;
	if (kwb_conn_connect(&pooled->conn, client->base, address,
		&pooled_conn_ops, pooled) != 0) {
		free(pooled);
		return NULL;
	}
	pooled->conn.body_max_bytes = client->answer_max_bytes;
	pooled->conn.body_budget = &client->body_budget;
	client->opened_count++;
	client->conns_count++;
	pooled_note_open(pooled, wants_new, has_sent_id);
	return pooled;
}

int
kwb_exchange_start(struct kwb_exchange *exchange, struct kwb_client *client,
    const struct kwb_address *address, struct evbuffer *request)
{
	struct kwb_pooled_conn *pooled = NULL;
	bool has_sent_id = false;

	exchange->client = client;
	exchange->timer =
	    kwb_timer_new(client->base, exchange_on_timer, exchange);
	if (exchange->timer == NULL)
		return KWB_ERR_MEMORY;
	if (!exchange->wants_new_conn)
		pooled = client_take_idle(
		    client, address, exchange->request_id, &has_sent_id);
	exchange->is_conn_reused = pooled != NULL;
	if (pooled == NULL)
		pooled = pooled_new(
		    client, address, exchange->wants_new_conn, has_sent_id);
	if (pooled == NULL) {
		evbuffer_drain(request, evbuffer_get_length(request));
		exchange_arm_timer(exchange);
		return 0;
	}
	exchange->pooled = pooled;
	pooled->exchange = exchange;
	if (exchange->request_id != NULL)
		pooled_note_sent(pooled, exchange->request_id);
	pooled->conn.has_no_body = exchange->has_no_body;
	evbuffer_add_buffer(kwb_conn_output(&pooled->conn), request);
	exchange->connect_deadline_ns =
	    kwb_clock_now_ns() + KWB_CONNECT_TIMEOUT_MS * KWB_MS_NS;
	if (exchange->max_silence_ns != 0)
		exchange->silence_deadline_ns =
		    kwb_clock_now_ns() + exchange->max_silence_ns;
	exchange_arm_timer(exchange); /* on_done comes later, even if overdue */
	return 0;
}

bool
kwb_exchange_is_connected(const struct kwb_exchange *exchange)
{
	return exchange->pooled != NULL && exchange->pooled->conn.is_connected;
}

void
kwb_exchange_finish(struct kwb_exchange *exchange)
{
	exchange_abort(exchange, KWB_CONN_CUT);
	kwb_message_finish(&exchange->answer);
}

void
kwb_exchange_set_paused(struct kwb_exchange *exchange, bool is_paused)
{
	if (exchange->pooled == NULL || exchange->is_paused == is_paused)
		return;
	exchange->is_paused = is_paused;
	if (is_paused) {
		bufferevent_disable(exchange->pooled->conn.bev, EV_READ);
		return;
	}
	bufferevent_enable(exchange->pooled->conn.bev, EV_READ);
	if (exchange->max_silence_ns != 0)
		exchange->silence_deadline_ns =
		    kwb_clock_now_ns() + exchange->max_silence_ns;
	exchange_arm_timer(exchange);
}

struct kwb_message *
kwb_exchange_answer(struct kwb_exchange *exchange)
{
	return exchange->pooled ? &exchange->pooled->conn.message
				: &exchange->answer;
}

static void
client_on_sweep_timer(int fd, short what, void *context)
{
	struct kwb_client *client = context;
	struct kwb_pooled_conn *pooled = TAILQ_FIRST(&client->idle_conns);
	struct kwb_pooled_conn *next;
	uint64_t now_ns = kwb_clock_now_ns();

	(void)fd;
	(void)what;
	for (; pooled != NULL; pooled = next) {
		next = TAILQ_NEXT(pooled, entry);
		if (pooled->idle_deadline_ns <= now_ns)
			pooled_close_idle(pooled, KWB_CONN_IDLE);
	}
	kwb_timer_arm(client->sweep_timer, now_ns + KWB_IDLE_SWEEP_NS);
}

int
kwb_client_init(struct kwb_client *client, struct event_base *base)
{
	memset(client, 0, sizeof(*client));
	client->base = base;
	TAILQ_INIT(&client->idle_conns);
	client->answer_max_bytes = KWB_ANSWER_MAX_BYTES;
	kwb_body_budget_init(&client->body_budget, KWB_ANSWER_BUDGET_BYTES);
	client->sweep_timer =
	    kwb_timer_new(base, client_on_sweep_timer, client);
	if (client->sweep_timer == NULL)
		return KWB_ERR_MEMORY;
	kwb_timer_arm(
	    client->sweep_timer, kwb_clock_now_ns() + KWB_IDLE_SWEEP_NS);
	return 0;
}

void
kwb_client_finish(struct kwb_client *client)
{
	struct kwb_pooled_conn *pooled = TAILQ_FIRST(&client->idle_conns);
	struct kwb_pooled_conn *next;

	for (; pooled != NULL; pooled = next) {
		next = TAILQ_NEXT(pooled, entry);
		pooled_close_idle(pooled, KWB_CONN_CUT);
	}
	event_free(client->sweep_timer);
}

bool
kwb_client_has_idle(
    const struct kwb_client *client, const struct kwb_address *address)
{
	const struct kwb_pooled_conn *pooled;
	uint64_t now_ns = kwb_clock_now_ns();

	TAILQ_FOREACH (pooled, &client->idle_conns, entry)
		if (pooled_is_to(pooled, address) &&
		    pooled->idle_deadline_ns > now_ns)
			return true;
	return false;
}

void
kwb_client_close_idle(
    struct kwb_client *client, const struct kwb_address *address)
{
	struct kwb_pooled_conn *pooled = TAILQ_FIRST(&client->idle_conns);
	struct kwb_pooled_conn *next;

	for (; pooled != NULL; pooled = next) {
		next = TAILQ_NEXT(pooled, entry);
		if (pooled_is_to(pooled, address))
			pooled_close_idle(pooled, KWB_CONN_CUT);
	}
}
