/*
 * Fake of the platform's store: rows, transactions, change feeds and objects
 * in memory, with faults that a test turns on.
 */
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stage.h"

#define WRITE_DELAY_MS 300

/* A feed call that waits for changes. */
struct feed_wait {
	char table[64];
	uint64_t after; /* revision that the caller knows */
	uint64_t deadline_ns;
};

/* A transaction that is applied after its connection was reset. */
struct delayed_write {
	json_t *body;
	struct testbed_store *store;
	struct event *timer;
	TAILQ_ENTRY(delayed_write) entry;
};

/* The store's clock starts at 1000 ms. */
static uint64_t
store_now_ms(const struct testbed_store *store)
{
	return 1000 + (kwb_clock_now_ns() - store->opened_ns) / KWB_MS_NS;
}

static struct testbed_row *
row_find(const struct testbed_store *store, const char *table, const char *part,
    const char *key)
{
	unsigned i;

	for (i = 0; i < store->rows_count; i++)
		if (strcmp(store->rows[i].key, key) == 0 &&
		    strcmp(store->rows[i].table, table) == 0 &&
		    strcmp(store->rows[i].part, part) == 0)
			return (struct testbed_row *)&store->rows[i];
	return NULL;
}

const struct testbed_row *
testbed_store_find(const struct testbed_store *store, const char *table,
    const char *part, const char *key)
{
	const struct testbed_row *row = row_find(store, table, part, key);

	return row != NULL && row->value != NULL ? row : NULL;
}

/* Writes a row at the store's current revision; value NULL removes it. */
static void
row_set(struct testbed_store *store, const char *table, const char *part,
    const char *key, const char *value)
{
	struct testbed_row *row = row_find(store, table, part, key);

	if (row == NULL) {
		if (store->rows_count == TESTBED_ROWS_MAX)
			abort();
		row = &store->rows[store->rows_count++];
		row->table = strdup(table);
		row->part = strdup(part);
		row->key = strdup(key);
	}
	free(row->value);
	row->value = value ? strdup(value) : NULL;
	row->revision = store->revision;
}

/* Returns a row as the store's JSON has it, or a tombstone if removed. */
static json_t *
row_json(const struct testbed_row *row)
{
	json_t *entry =
	    json_pack("{s:s, s:s, s:s, s:I}", "table", row->table, "part",
		row->part, "key", row->key, "ver", (json_int_t)row->revision);

	if (row->value != NULL)
		json_object_set_new(entry, "value", json_string(row->value));
	else
		json_object_set_new(entry, "tombstone", json_true());
	return entry;
}

static void
answer_json(struct http_session *session, unsigned status, json_t *body)
{
	struct testbed_store *store = session->listener->context;
	char *text;

	if (json_object_get(body, "ver") == NULL)
		json_object_set_new(
		    body, "ver", json_integer((json_int_t)store->revision));
	json_object_set_new(
	    body, "now-ms", json_integer((json_int_t)store_now_ms(store)));
	text = json_dumps(body, JSON_COMPACT);
	http_session_answer(session, status,
	    "Content-Type: application/json\r\n", text, strlen(text));
	free(text);
	json_decref(body);
}

static const char *
json_field(const json_t *entry, const char *name)
{
	const char *text = json_string_value(json_object_get(entry, name));

	return text ? text : "";
}

/*
 * Applies a transaction and returns NULL; or, if rows don't have the revisions
 * that it expects, changes nothing and returns these rows.
 */
static json_t *
apply_transaction(struct testbed_store *store, const json_t *body)
{
	json_t *conflicts = json_array();
	const struct testbed_row *row;
	json_t *entry;
	uint64_t revision;
	size_t i;

	json_array_foreach (json_object_get(body, "expected-rev"), i, entry) {
		row = testbed_store_find(store, json_field(entry, "table"),
		    json_field(entry, "part"), json_field(entry, "key"));
		revision =
		    (uint64_t)json_integer_value(json_object_get(entry, "ver"));
		if ((row ? row->revision : 0) != revision)
			json_array_append_new(
			    conflicts, row ? row_json(row) : json_object());
	}
	if (json_array_size(conflicts) > 0)
		return conflicts;
	json_decref(conflicts);
	store->revision++;
	json_array_foreach (json_object_get(body, "puts"), i, entry)
		row_set(store, json_field(entry, "table"),
		    json_field(entry, "part"), json_field(entry, "key"),
		    json_field(entry, "value"));
	json_array_foreach (json_object_get(body, "remove"), i, entry)
		row_set(store, json_field(entry, "table"),
		    json_field(entry, "part"), json_field(entry, "key"), NULL);
	return NULL;
}

static void
delayed_write_free(struct delayed_write *write)
{
	TAILQ_REMOVE(&write->store->delayed_writes, write, entry);
	json_decref(write->body);
	event_free(write->timer);
	free(write);
}

static void
delayed_write_on_timer(int fd, short what, void *context)
{
	struct delayed_write *write = context;
	json_t *conflicts = apply_transaction(write->store, write->body);

	(void)fd;
	(void)what;
	json_decref(conflicts);
	delayed_write_free(write);
}

static void
serve_transaction(struct http_session *session, json_t *body)
{
	struct testbed_store *store = session->listener->context;
	enum store_fault fault = store->fault;
	struct delayed_write *write;
	json_t *conflicts;

	if (fault >= STORE_FAULT_LOSE_ANSWER && store->fault_remaining > 0 &&
	    --store->fault_remaining == 0)
		store->fault = STORE_FAULT_NONE;
	if (fault == STORE_FAULT_DELAY_WRITE) {
		write = calloc(1, sizeof(*write));
		write->body = json_incref(body);
		write->store = store;
		TAILQ_INSERT_TAIL(&store->delayed_writes, write, entry);
		write->timer = kwb_timer_new(
		    session->listener->base, delayed_write_on_timer, write);
		kwb_timer_arm(write->timer,
		    kwb_clock_now_ns() + WRITE_DELAY_MS * KWB_MS_NS);
		http_session_close(session, true);
		return;
	}
	conflicts = apply_transaction(store, body);
	if (fault == STORE_FAULT_LOSE_ANSWER)
		http_session_close(session, true);
	else if (fault == STORE_FAULT_NO_WRITE_ANSWER)
		;
	else if (conflicts != NULL)
		answer_json(
		    session, 412, json_pack("{s:O}", "rows", conflicts));
	else
		answer_json(session, 200, json_object());
	json_decref(conflicts);
}

static int
compare_rows(const void *a, const void *b)
{
	return strcmp((*(const struct testbed_row *const *)a)->key,
	    (*(const struct testbed_row *const *)b)->key);
}

static int
compare_revisions(const void *a, const void *b)
{
	const struct testbed_row *left = *(const struct testbed_row *const *)a;
	const struct testbed_row *right = *(const struct testbed_row *const *)b;

	return left->revision < right->revision ? -1 : 1;
}

static const char *
query_value(struct evkeyvalq *pairs, const char *name)
{
	const char *value = evhttp_find_header(pairs, name);

	return value ? value : "";
}

static void
serve_range(struct http_session *session, struct evkeyvalq *pairs)
{
	static const struct testbed_row *found[TESTBED_ROWS_MAX];
	struct testbed_store *store = session->listener->context;
	const char *end = query_value(pairs, "target");
	json_t *rows = json_array();
	unsigned limit = (unsigned)atoi(query_value(pairs, "limit"));
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < store->rows_count; i++) {
		const struct testbed_row *row = &store->rows[i];

		if (row->value != NULL &&
		    strcmp(row->table, query_value(pairs, "table")) == 0 &&
		    strcmp(row->part, query_value(pairs, "part")) == 0 &&
		    strcmp(row->key, query_value(pairs, "from")) >= 0 &&
		    (end[0] == '\0' || strcmp(row->key, end) < 0))
			found[count++] = row;
	}
	qsort(found, count, sizeof(found[0]), compare_rows);
	if (limit == 0 || limit > 500)
		limit = 500;
	for (i = 0; i < count && i < limit; i++)
		json_array_append_new(rows, row_json(found[i]));
	answer_json(session, 200,
	    json_pack("{s:o, s:b}", "rows", rows, "has-more", i < count));
}

/* Answers a feed if rows have changed or its wait is over. */
static bool
feed_try_answer(struct http_session *session)
{
	static const struct testbed_row *found[TESTBED_ROWS_MAX];
	struct testbed_store *store = session->listener->context;
	struct feed_wait *wait = session->handler_state;
	json_t *rows;
	unsigned count = 0;
	unsigned i;

	if (wait->after < store->history_from_revision) {
		answer_json(session, 410, json_object());
		return true;
	}
	for (i = 0; i < store->rows_count; i++)
		if (store->rows[i].revision > wait->after &&
		    strcmp(store->rows[i].table, wait->table) == 0)
			found[count++] = &store->rows[i];
	if (count == 0 && kwb_clock_now_ns() < wait->deadline_ns)
		return false;
	qsort(found, count, sizeof(found[0]), compare_revisions);
	rows = json_array();
	for (i = 0; i < count; i++)
		json_array_append_new(rows, row_json(found[i]));
	answer_json(session, 200, json_pack("{s:o}", "rows", rows));
	return true;
}

static void
feed_finish(struct http_session *session)
{
	free(session->handler_state);
	session->handler_state = NULL;
}

static void
serve_feed(struct http_session *session, struct evkeyvalq *pairs)
{
	struct feed_wait *wait = calloc(1, sizeof(*wait));

	kwb_text_copy(
	    wait->table, sizeof(wait->table), query_value(pairs, "table"));
	wait->after = strtoull(query_value(pairs, "after"), NULL, 10);
	wait->deadline_ns = kwb_clock_now_ns() +
	    strtoull(query_value(pairs, "wait-ms"), NULL, 10) * KWB_MS_NS;
	session->handler_state = wait;
	if (feed_try_answer(session))
		feed_finish(session);
}

static void
serve_object(struct http_session *session, const char *call, const char *name)
{
	struct testbed_store *store = session->listener->context;
	struct testbed_object *object = NULL;
	const struct kwb_buf *body = &session->conn.message.body;
	unsigned i;

	for (i = 0; i < store->objects_count; i++)
		if (strcmp(store->objects[i].name, name) == 0)
			object = &store->objects[i];
	if (strcmp(call, "get") == 0) {
		if (object == NULL)
			http_session_answer(session, 404, "", "", 0);
		else
			http_session_answer(session, 200, "", object->data.data,
			    object->data.used_bytes);
		return;
	}
	if (strcmp(call, "drop") == 0) {
		if (object != NULL) {
			free(object->name);
			kwb_buf_finish(&object->data);
			*object = store->objects[--store->objects_count];
		}
		http_session_answer(session, 200, "", "", 0);
		return;
	}
	if (object != NULL) {
		http_session_answer(session, 412, "", "", 0);
		return;
	}
	object = &store->objects[store->objects_count++];
	object->name = strdup(name);
	kwb_buf_init(&object->data);
	kwb_buf_add(&object->data, body->data, body->used_bytes);
	http_session_answer(session, 200, "", "", 0);
}

/* Applies a fault of all calls; false if the call is to be served. */
static bool
try_fault(struct http_session *session)
{
	const struct testbed_store *store = session->listener->context;

	switch (store->fault) {
	case STORE_FAULT_503:
		http_session_answer(session, 503, "", "", 0);
		return true;
	case STORE_FAULT_429:
		http_session_answer(session, 429, "", "", 0);
		return true;
	case STORE_FAULT_RESET:
		http_session_close(session, true);
		return true;
	case STORE_FAULT_SILENT:
		return true;
	default:
		return false;
	}
}

/* A read names its part in the query, a transaction in its rows. */
static bool
is_about_part(const struct kwb_message *message, const char *part)
{
	const char *target = kwb_message_target(message);
	char text[96];

	if (strncmp(target, "/rows-get", 9) == 0) {
		snprintf(text, sizeof(text), "&part=%s", part);
		return strstr(target, text) != NULL;
	}
	snprintf(text, sizeof(text), "\"part\":\"%s\"", part);
	return strncmp(target, "/rows-tx", 8) == 0 &&
	    strstr(kwb_buf_text(&message->body), text) != NULL;
}

static void
store_on_request(struct http_session *session)
{
	const struct testbed_store *store = session->listener->context;
	const struct kwb_message *message = &session->conn.message;
	const char *target = kwb_message_target(message);
	const char *query = strchr(target, '?');
	struct evkeyvalq pairs;
	json_t *body;

	if (try_fault(session))
		return;
	if (store->silent_part[0] != '\0' &&
	    is_about_part(message, store->silent_part))
		return;
	if (strncmp(target, "/rows-tx", 8) == 0) {
		body = json_loadb(
		    message->body.data, message->body.used_bytes, 0, NULL);
		serve_transaction(session, body);
		json_decref(body);
		return;
	}
	if (strncmp(target, "/blob-", 6) == 0) {
		char call[8] = "";

		sscanf(target, "/blob-%7[a-z]", call);
		serve_object(session, call, strrchr(target, '/') + 1);
		return;
	}
	evhttp_parse_query_str(query ? query + 1 : "", &pairs);
	if (strncmp(target, "/rows-get", 9) == 0)
		serve_range(session, &pairs);
	else if (strncmp(target, "/rows-feed", 10) == 0)
		serve_feed(session, &pairs);
	else
		http_session_answer(session, 400, "", "", 0);
	evhttp_clear_headers(&pairs);
}

static bool
is_unavailable(const struct testbed_store *store)
{
	return store->fault >= STORE_FAULT_503 &&
	    store->fault <= STORE_FAULT_SILENT;
}

static void
feeds_on_timer(int fd, short what, void *context)
{
	struct testbed_store *store = context;
	struct http_session *session = TAILQ_FIRST(&store->port.sessions);
	struct http_session *next;

	(void)fd;
	(void)what;
	for (; session != NULL; session = next) {
		next = TAILQ_NEXT(session, entry);
		if (session->handler_state != NULL && !is_unavailable(store) &&
		    feed_try_answer(session))
			feed_finish(session);
	}
	kwb_timer_arm(store->feeds_timer, kwb_clock_now_ns() + 5 * KWB_MS_NS);
}

int
testbed_store_open(struct testbed_store *store, struct event_base *base)
{
	memset(store, 0, sizeof(*store));
	store->opened_ns = kwb_clock_now_ns();
	store->revision = 1;
	TAILQ_INIT(&store->delayed_writes);
	store->feeds_timer = kwb_timer_new(base, feeds_on_timer, store);
	kwb_timer_arm(store->feeds_timer, kwb_clock_now_ns());
	return http_listener_open(
	    &store->port, base, store_on_request, feed_finish, store);
}

void
testbed_store_close(struct testbed_store *store)
{
	struct delayed_write *write = TAILQ_FIRST(&store->delayed_writes);
	struct delayed_write *next;
	unsigned i;

	for (; write != NULL; write = next) {
		next = TAILQ_NEXT(write, entry);
		delayed_write_free(write);
	}
	http_listener_close(&store->port);
	event_free(store->feeds_timer);
	for (i = 0; i < store->rows_count; i++) {
		free(store->rows[i].table);
		free(store->rows[i].part);
		free(store->rows[i].key);
		free(store->rows[i].value);
	}
	for (i = 0; i < store->objects_count; i++) {
		free(store->objects[i].name);
		kwb_buf_finish(&store->objects[i].data);
	}
}

void
testbed_store_put(struct testbed_store *store, const char *table,
    const char *key, const char *text)
{
	struct kwb_buf value;

	kwb_buf_init(&value);
	kwb_base64_encode(&value, text, strlen(text));
	store->revision++;
	row_set(store, table, "", key, value.data);
	kwb_buf_finish(&value);
}

void
testbed_store_remove(
    struct testbed_store *store, const char *table, const char *key)
{
	store->revision++;
	row_set(store, table, "", key, NULL);
}
