/*
 * Exchanges with servers over kept connections, one exchange at a time on
 * each. A connection goes back to the idle ones only after a whole answer with
 * nothing behind it.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "kwb_node.h"

struct kwb_line {
	struct kwb_conn conn;
	struct kwb_client *client;
	struct kwb_address address;
	struct kwb_exchange *exchange; /* NULL while idle */
	uint64_t idle_deadline_ns;
	TAILQ_ENTRY(kwb_line) entry;
};

/* Closes an idle line. */
static void
line_free(struct kwb_line *line)
{
	TAILQ_REMOVE(&line->client->idle, line, entry);
	line->client->idle_count--;
	kwb_conn_finish(&line->conn);
	free(line);
}

static bool
line_is_to(const struct kwb_line *line, const struct kwb_address *address)
{
	return line->address.port == address->port &&
	    strcmp(line->address.ip, address->ip) == 0;
}

/* How long the server keeps an idle connection, by its Keep-Alive header. */
static uint64_t
keep_ns(const struct kwb_message *message)
{
	const char *text = kwb_message_header(message, "Keep-Alive");
	const char *seconds = text ? strstr(text, "timeout=") : NULL;
	uint64_t keep_ms = KWB_IDLE_KEEP_MS;

	if (seconds != NULL)
		keep_ms =
		    strtoull(seconds + strlen("timeout="), NULL, 10) * 1000;
	if (keep_ms <= KWB_IDLE_MARGIN_MS)
		return 0;
	return (keep_ms - KWB_IDLE_MARGIN_MS) * KWB_MS_NS;
}

/* Takes the line from its exchange and keeps it for idle_ns, 0 to close. */
static void
exchange_detach(struct kwb_exchange *exchange, uint64_t idle_ns)
{
	struct kwb_line *line = exchange->line;
	struct kwb_client *client = exchange->client;

	exchange->line = NULL;
	if (exchange->timer != NULL)
		event_free(exchange->timer);
	exchange->timer = NULL;
	if (line == NULL)
		return;
	if (idle_ns == 0 || client->idle_count >= KWB_IDLE_LINES_MAX ||
	    evbuffer_get_length(bufferevent_get_input(line->conn.bev)) > 0) {
		kwb_conn_finish(&line->conn);
		free(line);
		return;
	}
	line->exchange = NULL;
	line->idle_deadline_ns = kwb_clock_now_ns() + idle_ns;
	TAILQ_INSERT_HEAD(&client->idle, line, entry);
	client->idle_count++;
	kwb_conn_next(&line->conn);
}

static void
exchange_end(struct kwb_exchange *exchange, int error)
{
	if (error != 0)
		exchange_detach(exchange, 0);
	exchange->ops->on_done(exchange, error);
}

static void
line_head(struct kwb_conn *conn)
{
	struct kwb_line *line = conn->context;
	struct kwb_exchange *exchange = line->exchange;

	if (exchange == NULL) {
		line_free(line); /* an answer to nothing, maybe without end */
		return;
	}
	if (exchange->silence_ns != 0)
		exchange->silent_deadline_ns =
		    kwb_clock_now_ns() + exchange->silence_ns;
	if (exchange->ops->on_head != NULL)
		exchange->ops->on_head(exchange);
	if (line->exchange == exchange)
		conn->streaming = exchange->streaming;
}

static void
line_data(struct kwb_conn *conn)
{
	struct kwb_line *line = conn->context;
	struct kwb_exchange *exchange = line->exchange;

	if (exchange->silence_ns != 0)
		exchange->silent_deadline_ns =
		    kwb_clock_now_ns() + exchange->silence_ns;
	exchange->ops->on_data(exchange);
}

/* The answer moves to the exchange, so that the line can serve the callee. */
static void
line_message(struct kwb_conn *conn)
{
	struct kwb_line *line = conn->context;
	struct kwb_exchange *exchange = line->exchange;
	bool keep = conn->message.keep_alive;
	uint64_t idle_ns = keep_ns(&conn->message);

	if (exchange == NULL) {
		line_free(line); /* an answer to nothing */
		return;
	}
	kwb_message_finish(&exchange->answer);
	exchange->answer = conn->message;
	kwb_message_init(&conn->message);
	exchange_detach(exchange, keep ? idle_ns : 0);
	exchange->ops->on_done(exchange, 0);
}

static void
line_close(struct kwb_conn *conn, int error)
{
	struct kwb_line *line = conn->context;
	struct kwb_exchange *exchange = line->exchange;

	if (exchange == NULL) {
		line_free(line);
		return;
	}
	if (error == KWB_ERR_NET_RESET || error == KWB_ERR_NET_CLOSED)
		error = exchange->reused && !conn->head_told ? KWB_ERR_NET_STALE
							     : error;
	exchange_end(exchange, error);
}

static const struct kwb_conn_ops line_ops = {
    .on_head = line_head,
    .on_data = line_data,
    .on_message = line_message,
    .on_close = line_close,
};

static uint64_t
exchange_next_deadline(const struct kwb_exchange *exchange)
{
	uint64_t next_ns = UINT64_MAX;

	if (!exchange->line->conn.connected)
		next_ns = exchange->connect_deadline_ns;
	else if (exchange->silent_deadline_ns != 0)
		next_ns = exchange->silent_deadline_ns;
	if (exchange->deadline_ns != 0 && exchange->deadline_ns < next_ns)
		next_ns = exchange->deadline_ns;
	return next_ns;
}

static void
exchange_arm(struct kwb_exchange *exchange)
{
	uint64_t next_ns = exchange_next_deadline(exchange);
	uint64_t check_ns = kwb_clock_now_ns() + KWB_EXCHANGE_CHECK_NS;

	kwb_timer_at(exchange->timer, next_ns < check_ns ? next_ns : check_ns);
}

/* Ends an exchange whose time is up; a moved deadline only arms it again. */
static void
exchange_time(int fd, short what, void *context)
{
	struct kwb_exchange *exchange = context;

	(void)fd;
	(void)what;
	if (kwb_clock_now_ns() < exchange_next_deadline(exchange))
		exchange_arm(exchange);
	else
		exchange_end(exchange,
		    exchange->line->conn.connected ? KWB_ERR_NET_TIMEOUT
						   : KWB_ERR_NET_CONNECT);
}

static struct kwb_line *
line_idle(struct kwb_client *client, const struct kwb_address *address)
{
	struct kwb_line *line;
	uint64_t now_ns = kwb_clock_now_ns();

	TAILQ_FOREACH (line, &client->idle, entry) {
		if (line_is_to(line, address) &&
		    line->idle_deadline_ns > now_ns) {
			TAILQ_REMOVE(&client->idle, line, entry);
			client->idle_count--;
			return line;
		}
	}
	return NULL;
}

static struct kwb_line *
line_new(struct kwb_client *client, const struct kwb_address *address)
{
	struct kwb_line *line = calloc(1, sizeof(*line));

	if (line == NULL)
		return NULL;
	line->client = client;
	line->address = *address;
	if (kwb_conn_connect(
		&line->conn, client->base, address, &line_ops, line) != 0) {
		free(line);
		return NULL;
	}
	line->conn.body_max_bytes = client->answer_max_bytes;
	line->conn.hold = &client->hold;
	client->opened_count++;
	return line;
}

int
kwb_exchange_start(struct kwb_exchange *exchange, struct kwb_client *client,
    const struct kwb_address *address, struct evbuffer *request)
{
	struct kwb_line *line = NULL;

	exchange->client = client;
	exchange->timer = kwb_timer_new(client->base, exchange_time, exchange);
	if (exchange->timer == NULL)
		return KWB_ERR_MEMORY;
	if (!exchange->fresh)
		line = line_idle(client, address);
	exchange->reused = line != NULL;
	if (line == NULL)
		line = line_new(client, address);
	if (line == NULL) {
		event_free(exchange->timer);
		exchange->timer = NULL;
		return KWB_ERR_NET_CONNECT;
	}
	exchange->line = line;
	line->exchange = exchange;
	line->conn.no_body = exchange->no_body;
	evbuffer_add_buffer(kwb_conn_output(&line->conn), request);
	exchange->connect_deadline_ns =
	    kwb_clock_now_ns() + KWB_CONNECT_TIMEOUT_MS * KWB_MS_NS;
	if (exchange->silence_ns != 0)
		exchange->silent_deadline_ns =
		    kwb_clock_now_ns() + exchange->silence_ns;
	exchange_arm(exchange); /* ends later, even if paused until now */
	return 0;
}

bool
kwb_exchange_connected(const struct kwb_exchange *exchange)
{
	return exchange->line != NULL && exchange->line->conn.connected;
}

void
kwb_exchange_finish(struct kwb_exchange *exchange)
{
	if (exchange->line != NULL)
		exchange_detach(exchange, 0);
	kwb_message_finish(&exchange->answer);
}

struct kwb_message *
kwb_exchange_message(struct kwb_exchange *exchange)
{
	return exchange->line ? &exchange->line->conn.message
			      : &exchange->answer;
}

static void
client_sweep(int fd, short what, void *context)
{
	struct kwb_client *client = context;
	struct kwb_line *line = TAILQ_FIRST(&client->idle);
	struct kwb_line *next;
	uint64_t now_ns = kwb_clock_now_ns();

	(void)fd;
	(void)what;
	for (; line != NULL; line = next) {
		next = TAILQ_NEXT(line, entry);
		if (line->idle_deadline_ns <= now_ns)
			line_free(line);
	}
	kwb_timer_at(client->sweep, now_ns + KWB_IDLE_SWEEP_NS);
}

int
kwb_client_init(struct kwb_client *client, struct event_base *base)
{
	memset(client, 0, sizeof(*client));
	client->base = base;
	TAILQ_INIT(&client->idle);
	client->answer_max_bytes = KWB_ANSWER_MAX_BYTES;
	client->hold.max_bytes = KWB_HOLD_MAX_BYTES;
	client->sweep = kwb_timer_new(base, client_sweep, client);
	if (client->sweep == NULL)
		return KWB_ERR_MEMORY;
	kwb_timer_at(client->sweep, kwb_clock_now_ns() + KWB_IDLE_SWEEP_NS);
	return 0;
}

void
kwb_client_finish(struct kwb_client *client)
{
	struct kwb_line *line = TAILQ_FIRST(&client->idle);
	struct kwb_line *next;

	for (; line != NULL; line = next) {
		next = TAILQ_NEXT(line, entry);
		line_free(line);
	}
	event_free(client->sweep);
}

bool
kwb_client_has_idle(
    const struct kwb_client *client, const struct kwb_address *address)
{
	const struct kwb_line *line;
	uint64_t now_ns = kwb_clock_now_ns();

	TAILQ_FOREACH (line, &client->idle, entry)
		if (line_is_to(line, address) &&
		    line->idle_deadline_ns > now_ns)
			return true;
	return false;
}

void
kwb_client_drop(struct kwb_client *client, const struct kwb_address *address)
{
	struct kwb_line *line = TAILQ_FIRST(&client->idle);
	struct kwb_line *next;

	for (; line != NULL; line = next) {
		next = TAILQ_NEXT(line, entry);
		if (line_is_to(line, address))
			line_free(line);
	}
}
