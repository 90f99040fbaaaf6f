/*
 * Stand-in of the platform's store: rows, transactions, feeds and objects in
 * memory, with faults that a test switches on.
 */
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stage.h"

#define LATE_MS 300

struct feed_wait {
	char table[64];
	uint64_t after;
	uint64_t deadline_ns;
};

struct late_write {
	json_t *body;
	struct stage_store *store;
	struct event *timer;
	TAILQ_ENTRY(late_write) entry;
};

static uint64_t
now_ms(const struct stage_store *store)
{
	return 1000 + (kwb_clock_now_ns() - store->begin_ns) / KWB_MS_NS;
}

static struct stage_row *
row_find(const struct stage_store *store, const char *table, const char *part,
    const char *key)
{
	unsigned i;

	for (i = 0; i < store->rows_count; i++)
		if (strcmp(store->rows[i].key, key) == 0 &&
		    strcmp(store->rows[i].table, table) == 0 &&
		    strcmp(store->rows[i].part, part) == 0)
			return (struct stage_row *)&store->rows[i];
	return NULL;
}

const struct stage_row *
stage_store_row(const struct stage_store *store, const char *table,
    const char *part, const char *key)
{
	const struct stage_row *row = row_find(store, table, part, key);

	return row != NULL && row->value != NULL ? row : NULL;
}

static void
row_set(struct stage_store *store, const char *table, const char *part,
    const char *key, const char *value)
{
	struct stage_row *row = row_find(store, table, part, key);

	if (row == NULL) {
		if (store->rows_count == STAGE_ROWS_MAX)
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

static json_t *
row_json(const struct stage_row *row)
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
answer_json(struct stage_peer *peer, unsigned status, json_t *body)
{
	struct stage_store *store = peer->port->context;
	char *text;

	if (json_object_get(body, "ver") == NULL)
		json_object_set_new(
		    body, "ver", json_integer((json_int_t)store->revision));
	json_object_set_new(
	    body, "now-ms", json_integer((json_int_t)now_ms(store)));
	text = json_dumps(body, JSON_COMPACT);
	peer_answer(peer, status, "Content-Type: application/json\r\n", text,
	    strlen(text));
	free(text);
	json_decref(body);
}

static const char *
field(const json_t *entry, const char *name)
{
	const char *text = json_string_value(json_object_get(entry, name));

	return text ? text : "";
}

/* Applies a transaction; the rows that stand in its way, or NULL. */
static json_t *
transact(struct stage_store *store, const json_t *body)
{
	json_t *conflicts = json_array();
	const struct stage_row *row;
	json_t *entry;
	uint64_t revision;
	size_t i;

	json_array_foreach (json_object_get(body, "expected-rev"), i, entry) {
		row = stage_store_row(store, field(entry, "table"),
		    field(entry, "part"), field(entry, "key"));
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
		row_set(store, field(entry, "table"), field(entry, "part"),
		    field(entry, "key"), field(entry, "value"));
	json_array_foreach (json_object_get(body, "remove"), i, entry)
		row_set(store, field(entry, "table"), field(entry, "part"),
		    field(entry, "key"), NULL);
	return NULL;
}

static void
late_free(struct late_write *late)
{
	TAILQ_REMOVE(&late->store->late, late, entry);
	json_decref(late->body);
	event_free(late->timer);
	free(late);
}

static void
late_time(int fd, short what, void *context)
{
	struct late_write *late = context;
	json_t *conflicts = transact(late->store, late->body);

	(void)fd;
	(void)what;
	json_decref(conflicts);
	late_free(late);
}

static void
serve_tx(struct stage_peer *peer, json_t *body)
{
	struct stage_store *store = peer->port->context;
	enum store_fault fault = store->fault;
	struct late_write *late;
	json_t *conflicts;

	if (fault >= STORE_LOST && store->fault_left > 0 &&
	    --store->fault_left == 0)
		store->fault = STORE_OK;
	if (fault == STORE_LATE) {
		late = calloc(1, sizeof(*late));
		late->body = json_incref(body);
		late->store = store;
		TAILQ_INSERT_TAIL(&store->late, late, entry);
		late->timer = kwb_timer_new(peer->port->base, late_time, late);
		kwb_timer_arm(
		    late->timer, kwb_clock_now_ns() + LATE_MS * KWB_MS_NS);
		peer_close(peer, true);
		return;
	}
	conflicts = transact(store, body);
	if (fault == STORE_LOST)
		peer_close(peer, true);
	else if (fault == STORE_MUTE)
		;
	else if (conflicts != NULL)
		answer_json(peer, 412, json_pack("{s:O}", "rows", conflicts));
	else
		answer_json(peer, 200, json_object());
	json_decref(conflicts);
}

static int
compare_rows(const void *a, const void *b)
{
	return strcmp((*(const struct stage_row *const *)a)->key,
	    (*(const struct stage_row *const *)b)->key);
}

static int
compare_revisions(const void *a, const void *b)
{
	const struct stage_row *left = *(const struct stage_row *const *)a;
	const struct stage_row *right = *(const struct stage_row *const *)b;

	return left->revision < right->revision ? -1 : 1;
}

static const char *
argument(struct evkeyvalq *pairs, const char *name)
{
	const char *value = evhttp_find_header(pairs, name);

	return value ? value : "";
}

static void
serve_range(struct stage_peer *peer, struct evkeyvalq *pairs)
{
	static const struct stage_row *found[STAGE_ROWS_MAX];
	struct stage_store *store = peer->port->context;
	const char *to = argument(pairs, "target");
	json_t *rows = json_array();
	unsigned limit = (unsigned)atoi(argument(pairs, "limit"));
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < store->rows_count; i++) {
		const struct stage_row *row = &store->rows[i];

		if (row->value != NULL &&
		    strcmp(row->table, argument(pairs, "table")) == 0 &&
		    strcmp(row->part, argument(pairs, "part")) == 0 &&
		    strcmp(row->key, argument(pairs, "from")) >= 0 &&
		    (to[0] == '\0' || strcmp(row->key, to) < 0))
			found[count++] = row;
	}
	qsort(found, count, sizeof(found[0]), compare_rows);
	if (limit == 0 || limit > 500)
		limit = 500;
	for (i = 0; i < count && i < limit; i++)
		json_array_append_new(rows, row_json(found[i]));
	answer_json(peer, 200,
	    json_pack("{s:o, s:b}", "rows", rows, "has-more", i < count));
}

/* Answers a feed when there is news, or its time is up. */
static bool
feed_try(struct stage_peer *peer)
{
	static const struct stage_row *found[STAGE_ROWS_MAX];
	struct stage_store *store = peer->port->context;
	struct feed_wait *wait = peer->work;
	json_t *rows;
	unsigned count = 0;
	unsigned i;

	if (wait->after < store->history_from) {
		answer_json(peer, 410, json_object());
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
	answer_json(peer, 200, json_pack("{s:o}", "rows", rows));
	return true;
}

static void
feed_end(struct stage_peer *peer)
{
	free(peer->work);
	peer->work = NULL;
}

static void
serve_feed(struct stage_peer *peer, struct evkeyvalq *pairs)
{
	struct feed_wait *wait = calloc(1, sizeof(*wait));

	kwb_text_copy(
	    wait->table, sizeof(wait->table), argument(pairs, "table"));
	wait->after = strtoull(argument(pairs, "after"), NULL, 10);
	wait->deadline_ns = kwb_clock_now_ns() +
	    strtoull(argument(pairs, "wait-ms"), NULL, 10) * KWB_MS_NS;
	peer->work = wait;
	if (feed_try(peer))
		feed_end(peer);
}

static void
serve_object(struct stage_peer *peer, const char *call, const char *name)
{
	struct stage_store *store = peer->port->context;
	struct stage_object *object = NULL;
	const struct kwb_buf *body = &peer->conn.message.body;
	unsigned i;

	for (i = 0; i < store->objects_count; i++)
		if (strcmp(store->objects[i].name, name) == 0)
			object = &store->objects[i];
	if (strcmp(call, "get") == 0) {
		if (object == NULL)
			peer_answer(peer, 404, "", "", 0);
		else
			peer_answer(peer, 200, "", object->data.data,
			    object->data.used_bytes);
		return;
	}
	if (strcmp(call, "drop") == 0) {
		if (object != NULL) {
			free(object->name);
			kwb_buf_finish(&object->data);
			*object = store->objects[--store->objects_count];
		}
		peer_answer(peer, 200, "", "", 0);
		return;
	}
	if (object != NULL) {
		peer_answer(peer, 412, "", "", 0);
		return;
	}
	object = &store->objects[store->objects_count++];
	object->name = strdup(name);
	kwb_buf_init(&object->data);
	kwb_buf_add(&object->data, body->data, body->used_bytes);
	peer_answer(peer, 200, "", "", 0);
}

static bool
hit_by_fault(struct stage_peer *peer)
{
	const struct stage_store *store = peer->port->context;

	switch (store->fault) {
	case STORE_BUSY:
		peer_answer(peer, 503, "", "", 0);
		return true;
	case STORE_MANY:
		peer_answer(peer, 429, "", "", 0);
		return true;
	case STORE_RESET:
		peer_close(peer, true);
		return true;
	case STORE_SILENT:
		return true;
	default:
		return false;
	}
}

/* Of a read by its query, of a transaction by its rows. */
static bool
is_about(const struct kwb_message *message, const char *part)
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
on_request(struct stage_peer *peer)
{
	const struct stage_store *store = peer->port->context;
	const struct kwb_message *message = &peer->conn.message;
	const char *target = kwb_message_target(message);
	const char *query = strchr(target, '?');
	struct evkeyvalq pairs;
	json_t *body;

	if (hit_by_fault(peer))
		return;
	if (store->silent_part[0] != '\0' &&
	    is_about(message, store->silent_part))
		return;
	if (strncmp(target, "/rows-tx", 8) == 0) {
		body = json_loadb(
		    message->body.data, message->body.used_bytes, 0, NULL);
		serve_tx(peer, body);
		json_decref(body);
		return;
	}
	if (strncmp(target, "/blob-", 6) == 0) {
		char call[8] = "";

		sscanf(target, "/blob-%7[a-z]", call);
		serve_object(peer, call, strrchr(target, '/') + 1);
		return;
	}
	evhttp_parse_query_str(query ? query + 1 : "", &pairs);
	if (strncmp(target, "/rows-get", 9) == 0)
		serve_range(peer, &pairs);
	else if (strncmp(target, "/rows-feed", 10) == 0)
		serve_feed(peer, &pairs);
	else
		peer_answer(peer, 400, "", "", 0);
	evhttp_clear_headers(&pairs);
}

static bool
is_away(const struct stage_store *store)
{
	return store->fault >= STORE_BUSY && store->fault <= STORE_SILENT;
}

static void
on_tick(int fd, short what, void *context)
{
	struct stage_store *store = context;
	struct stage_peer *peer = TAILQ_FIRST(&store->port.peers);
	struct stage_peer *next;

	(void)fd;
	(void)what;
	for (; peer != NULL; peer = next) {
		next = TAILQ_NEXT(peer, entry);
		if (peer->work != NULL && !is_away(store) && feed_try(peer))
			feed_end(peer);
	}
	kwb_timer_arm(store->tick, kwb_clock_now_ns() + 5 * KWB_MS_NS);
}

int
stage_store_open(struct stage_store *store, struct event_base *base)
{
	memset(store, 0, sizeof(*store));
	store->begin_ns = kwb_clock_now_ns();
	store->revision = 1;
	TAILQ_INIT(&store->late);
	store->tick = kwb_timer_new(base, on_tick, store);
	kwb_timer_arm(store->tick, kwb_clock_now_ns());
	return port_open(&store->port, base, on_request, feed_end, store);
}

void
stage_store_close(struct stage_store *store)
{
	struct late_write *late = TAILQ_FIRST(&store->late);
	struct late_write *next;
	unsigned i;

	for (; late != NULL; late = next) {
		next = TAILQ_NEXT(late, entry);
		late_free(late);
	}
	port_close(&store->port);
	event_free(store->tick);
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
stage_store_put(struct stage_store *store, const char *table, const char *key,
    const char *text)
{
	struct kwb_buf value;

	kwb_buf_init(&value);
	kwb_base64_encode(&value, text, strlen(text));
	store->revision++;
	row_set(store, table, "", key, value.data);
	kwb_buf_finish(&value);
}

void
stage_store_remove(
    struct stage_store *store, const char *table, const char *key)
{
	store->revision++;
	row_set(store, table, "", key, NULL);
}
