/*
 * Stand-ins for the cases under review/; see stand.h.
 */
#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define QUEUE_DEFAULT 4 /* "queues a few more" */
#define NODES_MAX 16
#define CHILDREN_MAX 16

bool trouble = true;
char net_prefix[32];
int front_port;
int ready_port;

static int store_port;
static int server_port;
static int inner_port;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char temporary_folder[64];
static uint64_t start_ms;
static struct node *nodes[NODES_MAX];
static unsigned nodes_count;
static pid_t children[CHILDREN_MAX]; /* servers as processes */
static unsigned children_count;

/* ---- Set-up, record, end --------------------------------------------------
 */

static uint64_t
steady_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint64_t
now_ms(void)
{
	return steady_ms() - start_ms;
}

void
sleep_ms(unsigned ms)
{
	struct timespec ts = {ms / 1000, (long)(ms % 1000) * 1000000};

	while (nanosleep(&ts, &ts) != 0 && errno == EINTR)
		;
}

void
record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%7llu ", (unsigned long long)now_ms());
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

/* A port that is free now on this run's addresses. */
static int
port_pick(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t bytes = sizeof(address);
	char ip[48];
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	snprintf(ip, sizeof(ip), "%s.1", net_prefix);
	inet_pton(AF_INET, ip, &address.sin_addr);
	if (bind(fd, (struct sockaddr *)&address, bytes) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &bytes) != 0) {
		perror("no free port");
		exit(2);
	}
	close(fd);
	return ntohs(address.sin_port);
}

void
stand_begin(const char *case_folder)
{
	const char *wanted = getenv("TROUBLE");
	char path[512];
	unsigned pid = (unsigned)getpid();

	signal(SIGPIPE, SIG_IGN);
	trouble = wanted == NULL || strcmp(wanted, "0") != 0;
	snprintf(path, sizeof(path), "%s/record.txt", case_folder);
	record_file = fopen(path, "w");
	if (record_file == NULL) {
		perror(path);
		exit(2);
	}
	start_ms = steady_ms();
	snprintf(net_prefix, sizeof(net_prefix), "127.%u.%u",
	    100 + pid / 200 % 100, 20 + pid % 200);
	do {
		front_port = port_pick();
		ready_port = port_pick();
		inner_port = port_pick();
	} while (front_port == ready_port || front_port == inner_port ||
	    ready_port == inner_port);
	store_port = port_pick();
	server_port = port_pick();
	strcpy(temporary_folder, "/tmp/review-XXXXXX");
	if (mkdtemp(temporary_folder) == NULL) {
		perror("mkdtemp");
		exit(2);
	}
	record("begin trouble=%d", trouble);
}

static void
nodes_kill(void)
{
	unsigned i;

	for (i = 0; i < nodes_count; i++) {
		if (nodes[i]->pid <= 0 || node_has_exited(nodes[i]))
			continue;
		kill(nodes[i]->pid, SIGKILL);
		waitpid(nodes[i]->pid, NULL, 0);
	}
	for (i = 0; i < children_count; i++)
		if (waitpid(children[i], NULL, WNOHANG) == 0) {
			kill(children[i], SIGKILL);
			waitpid(children[i], NULL, 0);
		}
}

void
stand_end(int code)
{
	char path[256];
	unsigned i;

	nodes_kill();
	for (i = 0; i < nodes_count; i++) {
		snprintf(path, sizeof(path), "%s/%s.conf", temporary_folder,
		    nodes[i]->name);
		unlink(path);
		snprintf(path, sizeof(path), "%s/%s.log", temporary_folder,
		    nodes[i]->name);
		if (getenv("KEEP_LOGS") == NULL)
			unlink(path);
	}
	rmdir(temporary_folder);
	record("end code=%d (1: rule broken, 0: held, 2: could not run)", code);
	fclose(record_file);
	_exit(code);
}

void
stand_fail(const char *format, ...)
{
	char text[512];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	record("could not run: %s", text);
	fprintf(stderr, "could not run: %s\n", text);
	stand_end(2);
}

/* ---- HTTP/1.1 --------------------------------------------------------------
 */

/* Reads more bytes; 0 at the end, -1 on an error or a timeout. */
static ssize_t
conn_fill(struct conn *conn)
{
	ssize_t got;

	if (conn->used + 65536 > conn->capacity) {
		conn->capacity = (conn->used + 65536) * 2;
		conn->buf = realloc(conn->buf, conn->capacity);
		if (conn->buf == NULL)
			abort();
	}
	do
		got = recv(conn->fd, conn->buf + conn->used, 65536, 0);
	while (got < 0 && errno == EINTR);
	if (got > 0)
		conn->used += (size_t)got;
	return got;
}

static void
conn_consume(struct conn *conn, size_t bytes)
{
	conn->used -= bytes;
	memmove(conn->buf, conn->buf + bytes, conn->used);
}

void
conn_close(struct conn *conn)
{
	if (conn->fd >= 0)
		close(conn->fd);
	conn->fd = -1;
	free(conn->buf);
	conn->buf = NULL;
	conn->used = conn->capacity = 0;
}

void
conn_reset(const struct conn *conn)
{
	const struct sockaddr none = {.sa_family = AF_UNSPEC};

	connect(conn->fd, &none, sizeof(none));
}

bool
conn_send(struct conn *conn, const void *data, size_t bytes)
{
	const char *at = data;
	ssize_t sent;

	while (bytes > 0) {
		sent = send(conn->fd, at, bytes, MSG_NOSIGNAL);
		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return false;
		at += sent;
		bytes -= (size_t)sent;
	}
	return true;
}

bool
conn_printf(struct conn *conn, const char *format, ...)
{
	char *text = NULL;
	va_list args;
	int length;
	bool ok;

	va_start(args, format);
	length = vasprintf(&text, format, args);
	va_end(args);
	ok = length >= 0 && conn_send(conn, text, (size_t)length);
	free(text);
	return ok;
}

bool
conn_is_closed(const struct conn *conn)
{
	struct pollfd poll_fd = {.fd = conn->fd, .events = POLLIN};
	char byte;

	if (poll(&poll_fd, 1, 0) <= 0)
		return false;
	return recv(conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

const char *
msg_header(const struct msg *msg, const char *name)
{
	unsigned i;

	for (i = 0; i < msg->headers_count; i++)
		if (strcasecmp(msg->names[i], name) == 0)
			return msg->values[i];
	return NULL;
}

void
msg_free(struct msg *msg)
{
	free(msg->text);
	free(msg->body);
	memset(msg, 0, sizeof(*msg));
}

/* Cuts the head into lines; false when it is no HTTP. */
static bool
msg_parse_head(struct msg *msg, bool is_answer)
{
	char *save = NULL;
	char *line = strtok_r(msg->text, "\r\n", &save);
	char *colon;

	if (line == NULL)
		return false;
	if (is_answer) {
		if (strncmp(line, "HTTP/1.", 7) != 0)
			return false;
		msg->status = atoi(line + 9);
	} else {
		msg->method = line;
		msg->target = strchr(line, ' ');
		if (msg->target == NULL)
			return false;
		*msg->target++ = '\0';
		if (strchr(msg->target, ' ') == NULL)
			return false;
		*strrchr(msg->target, ' ') = '\0';
	}
	while ((line = strtok_r(NULL, "\r\n", &save)) != NULL) {
		colon = strchr(line, ':');
		if (colon == NULL || msg->headers_count == HEADERS_MAX)
			return false;
		*colon++ = '\0';
		while (*colon == ' ')
			colon++;
		msg->names[msg->headers_count] = line;
		msg->values[msg->headers_count++] = colon;
	}
	return true;
}

static bool
body_add(struct msg *msg, const char *data, size_t bytes)
{
	msg->body = realloc(msg->body, msg->body_bytes + bytes + 1);
	if (msg->body == NULL)
		abort();
	memcpy(msg->body + msg->body_bytes, data, bytes);
	msg->body_bytes += bytes;
	msg->body[msg->body_bytes] = '\0';
	return true;
}

static int
read_chunks(struct conn *conn, struct msg *msg)
{
	char *end;
	size_t size;

	for (;;) {
		while ((end = memmem(conn->buf, conn->used, "\r\n", 2)) == NULL)
			if (conn_fill(conn) <= 0)
				return -1;
		size = strtoul(conn->buf, NULL, 16);
		conn_consume(conn, (size_t)(end - conn->buf) + 2);
		while (conn->used < size + 2)
			if (conn_fill(conn) <= 0)
				return -1;
		body_add(msg, conn->buf, size);
		conn_consume(conn, size + 2);
		if (size == 0)
			return 1;
	}
}

int
msg_read(struct conn *conn, struct msg *msg, bool is_answer)
{
	const char *text;
	char *end = NULL;
	size_t head_bytes;
	size_t length;
	ssize_t got;

	memset(msg, 0, sizeof(*msg));
	while (conn->used == 0 ||
	    (end = memmem(conn->buf, conn->used, "\r\n\r\n", 4)) == NULL) {
		got = conn_fill(conn);
		if (got <= 0)
			return conn->used == 0 ? 0 : -1;
	}
	head_bytes = (size_t)(end - conn->buf) + 4;
	msg->text = strndup(conn->buf, head_bytes);
	conn_consume(conn, head_bytes);
	if (!msg_parse_head(msg, is_answer))
		return -1;
	body_add(msg, "", 0);
	text = msg_header(msg, "Transfer-Encoding");
	if (text != NULL && strcasecmp(text, "chunked") == 0)
		return read_chunks(conn, msg);
	text = msg_header(msg, "Content-Length");
	if (text == NULL && is_answer) {
		while ((got = conn_fill(conn)) > 0)
			;
		body_add(msg, conn->buf, conn->used);
		conn_consume(conn, conn->used);
		return got == 0 ? 1 : -1;
	}
	length = text != NULL ? strtoul(text, NULL, 10) : 0;
	while (conn->used < length)
		if (conn_fill(conn) <= 0)
			return -1;
	body_add(msg, conn->buf, length);
	if (length > 0)
		conn_consume(conn, length);
	return 1;
}

struct listener {
	int fd;
	bool (*handle)(struct conn *conn, struct msg *msg, void *context);
	void (*on_accept)(int fd, void *context); /* in place of handle */
	void *context;
};

struct accepted {
	struct listener *listener;
	int fd;
};

static void *
conn_thread(void *argument)
{
	struct accepted accepted = *(struct accepted *)argument;
	struct conn conn = {.fd = accepted.fd};
	struct msg msg;
	bool more = true;

	free(argument);
	while (more && msg_read(&conn, &msg, false) == 1) {
		more = accepted.listener->handle(
		    &conn, &msg, accepted.listener->context);
		msg_free(&msg);
	}
	conn_close(&conn);
	return NULL;
}

static void
thread_start(void *(*run)(void *argument), void *argument)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 512 * 1024);
	if (pthread_create(&thread, &attr, run, argument) != 0)
		stand_fail("no thread");
	pthread_attr_destroy(&attr);
}

static void *
listen_thread(void *argument)
{
	struct listener *listener = argument;
	struct accepted *accepted;
	int on = 1;
	int fd;

	while ((fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		if (listener->on_accept != NULL) {
			listener->on_accept(fd, listener->context);
			continue;
		}
		accepted = malloc(sizeof(*accepted));
		accepted->listener = listener;
		accepted->fd = fd;
		thread_start(conn_thread, accepted);
	}
	return NULL;
}

static int
listener_open(struct listener *listener, const char *ip, int port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	socklen_t bytes = sizeof(address);
	int on = 1;

	inet_pton(AF_INET, ip, &address.sin_addr);
	listener->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listener->fd, (struct sockaddr *)&address, bytes) != 0 ||
	    listen(listener->fd, 512) != 0 ||
	    getsockname(listener->fd, (struct sockaddr *)&address, &bytes) != 0)
		stand_fail("cannot listen on %s:%d", ip, port);
	thread_start(listen_thread, listener);
	return ntohs(address.sin_port);
}

int
http_listen(const char *ip, int port,
    bool (*handle)(struct conn *conn, struct msg *msg, void *context),
    void *context)
{
	struct listener *listener = calloc(1, sizeof(*listener));

	listener->handle = handle;
	listener->context = context;
	return listener_open(listener, ip, port);
}

int
tcp_listen(
    const char *ip, void (*on_accept)(int fd, void *context), void *context)
{
	struct listener *listener = calloc(1, sizeof(*listener));

	listener->on_accept = on_accept;
	listener->context = context;
	return listener_open(listener, ip, 0);
}

/* ---- The platform's store ---------------------------------------------------
 */

struct row {
	char *table;
	char *part;
	char *key;
	char *value; /* base64; NULL once removed */
	uint64_t revision;
};

struct object {
	char *name;
	char *data;
	size_t bytes;
};

static struct row *rows;
static unsigned rows_count;
static struct object objects[512];
static unsigned objects_count;
static uint64_t revision = 1;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed;

static struct row *
row_find(const char *table, const char *part, const char *key)
{
	unsigned i;

	for (i = 0; i < rows_count; i++)
		if (strcmp(rows[i].key, key) == 0 &&
		    strcmp(rows[i].table, table) == 0 &&
		    strcmp(rows[i].part, part) == 0)
			return &rows[i];
	return NULL;
}

static void
row_set(const char *table, const char *part, const char *key, const char *value)
{
	struct row *row = row_find(table, part, key);

	if (row == NULL) {
		rows = realloc(rows, (rows_count + 1) * sizeof(*rows));
		row = &rows[rows_count++];
		row->table = strdup(table);
		row->part = strdup(part);
		row->key = strdup(key);
		row->value = NULL;
	}
	free(row->value);
	row->value = value != NULL ? strdup(value) : NULL;
	row->revision = revision;
}

static const char base64_digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

char *
base64(const void *data, size_t bytes)
{
	const unsigned char *in = data;
	char *out = malloc((bytes + 2) / 3 * 4 + 1);
	size_t at = 0;
	size_t i;
	unsigned group;

	for (i = 0; i < bytes; i += 3) {
		group = (unsigned)in[i] << 16;
		group |= i + 1 < bytes ? (unsigned)in[i + 1] << 8 : 0;
		group |= i + 2 < bytes ? in[i + 2] : 0;
		out[at++] = base64_digits[group >> 18];
		out[at++] = base64_digits[group >> 12 & 63];
		out[at++] =
		    i + 1 < bytes ? base64_digits[group >> 6 & 63] : '=';
		out[at++] = i + 2 < bytes ? base64_digits[group & 63] : '=';
	}
	out[at] = '\0';
	return out;
}

static size_t
base64_decode(const char *text, char *out, size_t capacity)
{
	unsigned bits = 0;
	unsigned count = 0;
	size_t at = 0;
	const char *digit;

	for (; *text != '\0' && *text != '=' && at + 1 < capacity; text++) {
		digit = strchr(base64_digits, *text);
		if (digit == NULL)
			break;
		bits = bits << 6 | (unsigned)(digit - base64_digits);
		count += 6;
		if (count >= 8) {
			count -= 8;
			out[at++] = (char)(bits >> count & 255);
		}
	}
	out[at] = '\0';
	return at;
}

void
store_put(const char *table, const char *key, const char *json)
{
	char *value = base64(json, strlen(json));

	pthread_mutex_lock(&store_lock);
	revision++;
	row_set(table, "", key, value);
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	free(value);
}

void
store_remove(const char *table, const char *key)
{
	pthread_mutex_lock(&store_lock);
	revision++;
	row_set(table, "", key, NULL);
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
}

bool
store_get(const char *table, const char *part, const char *key, char *value,
    size_t capacity)
{
	const struct row *row;
	bool found;

	pthread_mutex_lock(&store_lock);
	row = row_find(table, part, key);
	found = row != NULL && row->value != NULL;
	if (found)
		base64_decode(row->value, value, capacity);
	pthread_mutex_unlock(&store_lock);
	return found;
}

static json_t *
row_json(const struct row *row)
{
	json_t *json =
	    json_pack("{s:s, s:s, s:s, s:I}", "table", row->table, "part",
		row->part, "key", row->key, "ver", (json_int_t)row->revision);

	if (row->value != NULL)
		json_object_set_new(json, "value", json_string(row->value));
	else
		json_object_set_new(json, "tombstone", json_true());
	return json;
}

static bool
answer_json(struct conn *conn, int status, json_t *body)
{
	char *text;
	bool ok;

	if (json_object_get(body, "ver") == NULL)
		json_object_set_new(
		    body, "ver", json_integer((json_int_t)revision));
	json_object_set_new(
	    body, "now-ms", json_integer((json_int_t)(500000 + now_ms())));
	text = json_dumps(body, JSON_COMPACT);
	ok = conn_printf(conn,
	    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    status, strlen(text), text);
	free(text);
	json_decref(body);
	return ok;
}

static const char *
field(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text != NULL ? text : "";
}

static bool
serve_transaction(struct conn *conn, const struct msg *msg)
{
	json_t *body = json_loadb(msg->body, msg->body_bytes, 0, NULL);
	json_t *conflicts = json_array();
	json_t *answer;
	json_t *entry;
	struct row *row;
	uint64_t actual;
	size_t i;

	sleep_ms(6);
	pthread_mutex_lock(&store_lock);
	json_array_foreach (json_object_get(body, "expected-rev"), i, entry) {
		row = row_find(field(entry, "table"), field(entry, "part"),
		    field(entry, "key"));
		actual = row != NULL && row->value != NULL ? row->revision : 0;
		if (actual !=
		    (uint64_t)json_integer_value(json_object_get(entry, "ver")))
			json_array_append_new(conflicts,
			    row != NULL ? row_json(row) : json_object());
	}
	if (json_array_size(conflicts) == 0) {
		revision++;
		json_array_foreach (json_object_get(body, "puts"), i, entry)
			row_set(field(entry, "table"), field(entry, "part"),
			    field(entry, "key"), field(entry, "value"));
		json_array_foreach (json_object_get(body, "remove"), i, entry)
			row_set(field(entry, "table"), field(entry, "part"),
			    field(entry, "key"), NULL);
		pthread_cond_broadcast(&store_changed);
	}
	answer = json_array_size(conflicts) > 0
	    ? json_pack("{s:O}", "rows", conflicts)
	    : json_object();
	json_object_set_new(answer, "ver", json_integer((json_int_t)revision));
	pthread_mutex_unlock(&store_lock);
	i = json_array_size(conflicts);
	json_decref(conflicts);
	json_decref(body);
	return answer_json(conn, i > 0 ? 412 : 200, answer);
}

/* Value of a query parameter, decoded; "" when it is missing. */
static void
query_value(const char *target, const char *name, char *to, size_t capacity)
{
	const char *at = strchr(target, '?');
	size_t name_bytes = strlen(name);
	size_t used = 0;
	char hex[3] = "";

	to[0] = '\0';
	while (at != NULL &&
	    (strncmp(at + 1, name, name_bytes) != 0 ||
		at[1 + name_bytes] != '='))
		at = strchr(at + 1, '&');
	if (at == NULL)
		return;
	for (at += name_bytes + 2;
	     *at != '\0' && *at != '&' && used + 1 < capacity; at++) {
		if (*at == '%') {
			memcpy(hex, at + 1, 2);
			to[used++] = (char)strtoul(hex, NULL, 16);
			at += 2;
		} else {
			to[used++] = *at;
		}
	}
	to[used] = '\0';
}

static int
compare_keys(const void *a, const void *b)
{
	return strcmp((*(const struct row *const *)a)->key,
	    (*(const struct row *const *)b)->key);
}

static int
compare_revisions(const void *a, const void *b)
{
	const struct row *left = *(const struct row *const *)a;
	const struct row *right = *(const struct row *const *)b;

	return left->revision < right->revision ? -1 : 1;
}

static bool
serve_range(struct conn *conn, const struct msg *msg)
{
	char table[256], part[256], from[256], to[256], limit_text[32];
	const struct row **found;
	json_t *list = json_array();
	json_t *answer;
	unsigned limit;
	unsigned count = 0;
	unsigned i;

	query_value(msg->target, "table", table, sizeof(table));
	query_value(msg->target, "part", part, sizeof(part));
	query_value(msg->target, "from", from, sizeof(from));
	query_value(msg->target, "target", to, sizeof(to));
	query_value(msg->target, "limit", limit_text, sizeof(limit_text));
	limit = (unsigned)atoi(limit_text);
	if (limit == 0 || limit > 500)
		limit = 500;
	sleep_ms(4);
	pthread_mutex_lock(&store_lock);
	found = calloc(rows_count + 1, sizeof(*found));
	for (i = 0; i < rows_count; i++)
		if (rows[i].value != NULL &&
		    strcmp(rows[i].table, table) == 0 &&
		    strcmp(rows[i].part, part) == 0 &&
		    strcmp(rows[i].key, from) >= 0 &&
		    (to[0] == '\0' || strcmp(rows[i].key, to) < 0))
			found[count++] = &rows[i];
	qsort(found, count, sizeof(*found), compare_keys);
	for (i = 0; i < count && i < limit; i++)
		json_array_append_new(list, row_json(found[i]));
	answer = json_pack("{s:o, s:b, s:I}", "rows", list, "has-more",
	    i < count, "ver", (json_int_t)revision);
	free(found);
	pthread_mutex_unlock(&store_lock);
	return answer_json(conn, 200, answer);
}

static bool
serve_feed(struct conn *conn, const struct msg *msg, const struct gate *gate)
{
	uint64_t begun_ms = now_ms();
	char table[256], text[64];
	const struct row **found;
	struct timespec until;
	json_t *list = json_array();
	json_t *answer;
	uint64_t after;
	unsigned wait_ms;
	unsigned count;
	unsigned i;
	int waited = 0;

	query_value(msg->target, "table", table, sizeof(table));
	query_value(msg->target, "after", text, sizeof(text));
	after = strtoull(text, NULL, 10);
	query_value(msg->target, "wait-ms", text, sizeof(text));
	wait_ms = (unsigned)atoi(text);
	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += (long)(wait_ms % 1000) * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	pthread_mutex_lock(&store_lock);
	for (;;) {
		found = calloc(rows_count + 1, sizeof(*found));
		count = 0;
		for (i = 0; i < rows_count; i++)
			if (rows[i].revision > after &&
			    strcmp(rows[i].table, table) == 0)
				found[count++] = &rows[i];
		if (count > 0 || waited != 0)
			break;
		free(found);
		waited =
		    pthread_cond_timedwait(&store_changed, &store_lock, &until);
	}
	qsort(found, count, sizeof(*found), compare_revisions);
	for (i = 0; i < count; i++)
		json_array_append_new(list, row_json(found[i]));
	answer =
	    json_pack("{s:o, s:I}", "rows", list, "ver", (json_int_t)revision);
	free(found);
	pthread_mutex_unlock(&store_lock);
	sleep_ms(4);
	if (gate != NULL && gate->silent_ms >= begun_ms &&
	    strcmp(gate->silent_table, table) == 0) {
		record("store: the channel of a feed of %s is silent", table);
		json_decref(answer);
		while (!conn_is_closed(conn))
			sleep_ms(20);
		return false;
	}
	return answer_json(conn, 200, answer);
}

static bool
serve_object(struct conn *conn, const struct msg *msg)
{
	const char *name = strrchr(msg->target, '/') + 1;
	struct object *object = NULL;
	char *copy = NULL;
	size_t bytes = 0;
	int status = 200;
	bool ok;
	unsigned i;

	sleep_ms(25);
	pthread_mutex_lock(&store_lock);
	for (i = 0; i < objects_count; i++)
		if (strcmp(objects[i].name, name) == 0)
			object = &objects[i];
	if (strncmp(msg->target, "/blob-put/", 10) == 0) {
		if (object != NULL) {
			status = 412;
		} else if (objects_count == 512) {
			status = 507;
		} else {
			object = &objects[objects_count++];
			object->name = strdup(name);
			object->bytes = msg->body_bytes;
			object->data = malloc(msg->body_bytes + 1);
			memcpy(object->data, msg->body, msg->body_bytes);
		}
	} else if (strncmp(msg->target, "/blob-get/", 10) == 0) {
		status = object != NULL ? 200 : 404;
		if (object != NULL) {
			bytes = object->bytes;
			copy = malloc(bytes + 1);
			memcpy(copy, object->data, bytes);
		}
	} else if (object != NULL) {
		free(object->name);
		free(object->data);
		*object = objects[--objects_count];
	}
	pthread_mutex_unlock(&store_lock);
	ok = conn_printf(conn, "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n",
		 status, bytes) &&
	    conn_send(conn, copy != NULL ? copy : "", bytes);
	free(copy);
	return ok;
}

static bool
store_handle(struct conn *conn, struct msg *msg, void *context)
{
	if (strncmp(msg->target, "/rows-tx", 8) == 0)
		return serve_transaction(conn, msg);
	if (strncmp(msg->target, "/rows-get", 9) == 0)
		return serve_range(conn, msg);
	if (strncmp(msg->target, "/rows-feed", 10) == 0)
		return serve_feed(conn, msg, context);
	if (strncmp(msg->target, "/blob-", 6) == 0)
		return serve_object(conn, msg);
	return conn_printf(conn, "HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n");
}

int
store_open_gate(struct gate *gate)
{
	char ip[48];

	snprintf(ip, sizeof(ip), "%s.7", net_prefix);
	return http_listen(ip, 0, store_handle, gate);
}

void
store_start(void)
{
	pthread_condattr_t attr;
	char ip[48];

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&store_changed, &attr);
	snprintf(ip, sizeof(ip), "%s.7", net_prefix);
	http_listen(ip, store_port, store_handle, NULL);
}

/* ---- Servers
 * ------------------------------------------------------------------ */

void
event_data(char *to, size_t capacity, const char *id, unsigned event)
{
	snprintf(to, capacity, "%s word %u", id, event);
}

char *
whole_text(const char *id, unsigned events)
{
	char data[256];
	char *text = calloc(events + 1, sizeof(data));
	unsigned i;

	for (i = 1; i <= events; i++) {
		event_data(data, sizeof(data), id, i);
		if (i > 1)
			strcat(text, "\n");
		strcat(text, data);
	}
	return text;
}

void
run_stream_head(struct run *run, bool framed)
{
	conn_printf(run->conn,
	    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	    "Attempt-Id: %s\r\nServer-Stamp: stamp-%s-%s\r\n"
	    "Weight-Versions: %u\r\nServer-Load: %u,%u,%u\r\n%s\r\n",
	    run->id, run->server->id, run->id, run->server->version,
	    run->server->running, run->server->waiting, run->server->slots,
	    framed ? "Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n"
		   : "Connection: close\r\n");
}

bool
run_stream(struct run *run, unsigned last_event)
{
	unsigned version = run->server->version;
	char data[256];
	char event[512];
	unsigned i;
	int length;

	run_stream_head(run, true);
	for (i = run->first; i <= last_event; i++) {
		sleep_ms(run->pace_ms);
		while (run->server->busy && !run->server->gone)
			sleep_ms(10);
		if (run->server->event_hook != NULL)
			run->server->event_hook(run);
		if (run->server->gone || conn_is_closed(run->conn)) {
			record("server %s: %s cut off before event %u",
			    run->server->id, run->id, i);
			return false;
		}
		event_data(data, sizeof(data), run->id, i);
		length = snprintf(event, sizeof(event), "id: %u\n", i);
		if (run->server->version != version) {
			version = run->server->version;
			length += snprintf(event + length,
			    sizeof(event) - (size_t)length,
			    "weight-versions: %u\n", version);
		}
		length += snprintf(event + length,
		    sizeof(event) - (size_t)length, "data: %s\n\n", data);
		if (!conn_printf(
			run->conn, "%x\r\n%s\r\n", (unsigned)length, event))
			return false;
	}
	return conn_printf(run->conn, "0\r\n\r\n");
}

static bool
answer_plain(struct conn *conn, const struct run *run, int status,
    const char *headers, const char *body, size_t bytes)
{
	return conn_printf(conn,
		   "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\n%s"
		   "Keep-Alive: timeout=5\r\nServer-Load: %u,%u,%u\r\n"
		   "Content-Length: %zu\r\n\r\n",
		   status, run->id, headers, run->server->running,
		   run->server->waiting, run->server->slots, bytes) &&
	    conn_send(conn, body, bytes);
}

bool
serve_report(struct server *server, struct conn *conn)
{
	char body[512];
	int length;

	pthread_mutex_lock(&server->lock);
	length = snprintf(body, sizeof(body),
	    "{\"stage\":\"both\",\"models\":[{\"name\":\"%s\",\"version\":%u,"
	    "\"adapters\":[]}],\"busy\":%s,\"seq\":%u,\"queued\":0,"
	    "\"running\":%u,\"kv-used\":0,\"kv-total\":90000,\"handles\":0}",
	    server->model ? server->model : "-", server->version,
	    server->busy ? "true" : "false", server->seq, server->running);
	pthread_mutex_unlock(&server->lock);
	return conn_printf(conn,
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Content-Length: %d\r\n\r\n%s",
	    length, body);
}

struct load {
	struct server *server;
	unsigned version;
};

static void *
load_thread(void *argument)
{
	struct load load = *(struct load *)argument;

	free(argument);
	sleep_ms(load.server->load_ms);
	pthread_mutex_lock(&load.server->lock);
	load.server->version = load.version;
	load.server->busy = false;
	pthread_mutex_unlock(&load.server->lock);
	if (!load.server->gone) {
		record(
		    "server %s: has version %u", load.server->id, load.version);
		server_publish(load.server);
	}
	return NULL;
}

static bool
serve_order(struct server *server, struct conn *conn, const struct msg *msg)
{
	json_t *body = json_loadb(msg->body, msg->body_bytes, 0, NULL);
	const json_t *expected = json_object_get(body, "expected-rev");
	unsigned version =
	    (unsigned)json_integer_value(json_object_get(body, "version"));
	uint64_t fence =
	    (uint64_t)json_integer_value(json_object_get(body, "fence"));
	const char *instance = msg_header(msg, "Expect-Instance");
	struct load *load;
	int status = 202;

	pthread_mutex_lock(&server->lock);
	if (instance != NULL && strcmp(instance, server->id) != 0)
		status = 421;
	else if (fence < server->fence)
		status = 412;
	else if (server->busy ||
	    (expected != NULL &&
		(unsigned)json_integer_value(expected) != server->seq))
		status = 409;
	else if (version == server->version)
		status = 200;
	if (status == 202) {
		server->fence = fence;
		server->seq++;
		server->busy = true;
		load = malloc(sizeof(*load));
		load->server = server;
		load->version = version;
		thread_start(load_thread, load);
	}
	pthread_mutex_unlock(&server->lock);
	record("server %s: order version=%u holder=%s fence=%llu -> %d",
	    server->id, version, field(body, "holder"),
	    (unsigned long long)fence, status);
	json_decref(body);
	return conn_printf(
	    conn, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status);
}

static unsigned
body_number(const struct msg *msg, const char *name, unsigned fallback)
{
	const char *at = strstr(msg->body, name);

	return at != NULL ? (unsigned)atoi(at + strlen(name)) : fallback;
}

/* Runs a request; false closes the connection. */
static bool
serve_run(struct run *run)
{
	struct server *server = run->server;
	char stamp[256];
	bool ok;
	int hooked = server->hook != NULL ? server->hook(run) : 0;

	if (hooked != 0)
		return hooked > 0;
	snprintf(stamp, sizeof(stamp), "Server-Stamp: stamp-%s-%s\r\n",
	    server->id, run->id);
	if (run->is_dead) {
		record("server %s: %s -> 422", server->id, run->id);
		return answer_plain(run->conn, run, 422, stamp, "", 0);
	}
	if (!server->is_model) {
		sleep_ms(run->pace_ms);
		record("server %s: %s run -> 200", server->id, run->id);
		return answer_plain(run->conn, run, 200, stamp, run->msg->body,
		    run->msg->body_bytes);
	}
	record("server %s: %s runs from event %u of %u, version %u", server->id,
	    run->id, run->first, run->events, server->version);
	ok = run_stream(run, run->events);
	if (ok)
		record("server %s: %s whole", server->id, run->id);
	return ok;
}

/* A request that waits for a slot; the most urgent and oldest is first. */
struct waiter {
	unsigned priority;
	uint64_t arrival;
	struct waiter *next;
};

enum slot_result {
	SLOT_TAKEN,
	SLOT_FULL, /* nothing has run */
	SLOT_LEFT  /* the caller has closed the connection */
};

static bool
is_first(const struct server *server, const struct waiter *waiter)
{
	const struct waiter *other;

	for (other = server->waiters; other != NULL; other = other->next)
		if (other->priority < waiter->priority ||
		    (other->priority == waiter->priority &&
			other->arrival < waiter->arrival))
			return false;
	return true;
}

/* Takes a slot, or waits for one in the queue. */
static enum slot_result
slot_take(struct server *server, const struct conn *conn, unsigned priority,
    unsigned *number)
{
	struct waiter waiter = {.priority = priority};
	enum slot_result result = SLOT_FULL;
	struct waiter **at;

	pthread_mutex_lock(&server->lock);
	waiter.arrival = server->arrivals++;
	if (server->busy ||
	    (server->running >= server->slots &&
		server->waiting >= server->queue)) {
		pthread_mutex_unlock(&server->lock);
		return SLOT_FULL;
	}
	waiter.next = server->waiters;
	server->waiters = &waiter;
	server->waiting++;
	for (;;) {
		if (server->busy)
			break;
		if (server->running < server->slots &&
		    is_first(server, &waiter)) {
			result = SLOT_TAKEN;
			*number = server->begun++;
			server->running++;
			break;
		}
		pthread_mutex_unlock(&server->lock);
		sleep_ms(2);
		pthread_mutex_lock(&server->lock);
		if (server->gone || conn_is_closed(conn)) {
			result = SLOT_LEFT;
			break;
		}
	}
	for (at = &server->waiters; *at != &waiter; at = &(*at)->next)
		;
	*at = waiter.next;
	server->waiting--;
	pthread_mutex_unlock(&server->lock);
	return result;
}

static bool
server_handle(struct conn *conn, struct msg *msg, void *context)
{
	struct server *server = context;
	struct run run = {.server = server, .conn = conn, .msg = msg};
	const char *id = msg_header(msg, "Attempt-Id");
	const char *instance = msg_header(msg, "Expect-Instance");
	const char *version = msg_header(msg, "Expect-Version");
	const char *resume = msg_header(msg, "Last-Event-Id");
	enum slot_result result;
	const char *text;
	unsigned priority;
	bool ok;

	if (server->gone)
		return false;
	if (strcmp(msg->target, "/report") == 0) {
		if (server->report_hook != NULL)
			server->report_hook(server, conn);
		return serve_report(server, conn);
	}
	if (strcmp(msg->target, "/order") == 0)
		return serve_order(server, conn, msg);
	snprintf(run.id, sizeof(run.id), "%s", id != NULL ? id : "");
	if ((instance != NULL && strcmp(instance, server->id) != 0) ||
	    (version != NULL && server->is_model &&
		(unsigned)atoi(version) != server->version)) {
		record("server %s: %s -> 421 (wants version %s, has %u)",
		    server->id, run.id, version != NULL ? version : "-",
		    server->version);
		return answer_plain(
		    conn, &run, 421, "Not-Executed: 1\r\n", "", 0);
	}
	run.events = body_number(msg, "events=", 5);
	run.pace_ms = body_number(msg, "pace=", 30);
	run.is_dead = strstr(msg->body, "dead") != NULL;
	run.first = (resume != NULL ? (unsigned)atoi(resume) : 0) + 1;
	text = msg_header(msg, "Priority-Class");
	priority = text != NULL ? (unsigned)atoi(text) : 5;
	result = slot_take(server, conn, priority, &run.number);
	if (server->queue_hook != NULL && result != SLOT_FULL)
		server->queue_hook(&run);
	switch (result) {
	case SLOT_TAKEN:
		break;
	case SLOT_FULL:
		return answer_plain(
		    conn, &run, 503, "Not-Executed: 1\r\n", "", 0);
	case SLOT_LEFT:
		record("server %s: %s leaves the queue", server->id, run.id);
		return false;
	}
	ok = serve_run(&run);
	pthread_mutex_lock(&server->lock);
	server->running--;
	pthread_mutex_unlock(&server->lock);
	return ok;
}

void
server_publish(struct server *server)
{
	char models[384] = "";
	char other[160] = "";
	char json[1024];

	if (server->other_model != NULL)
		snprintf(other, sizeof(other),
		    ",{\"name\":\"%s\",\"version\":%u,\"adapters\":[]}",
		    server->other_model, server->version);
	if (server->model != NULL)
		snprintf(models, sizeof(models),
		    ",\"models\":[{\"name\":\"%s\",\"version\":%u,"
		    "\"adapters\":[]}%s]",
		    server->model, server->version, other);
	snprintf(json, sizeof(json),
	    "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"zone-a\","
	    "\"version\":\"v1\",\"slots\":%u,\"state\":\"ready\","
	    "\"cold-left-ms\":0,\"stage\":\"both\"%s,\"seq\":%u,"
	    "\"born\":%llu}",
	    server->service, server->ip,
	    server->advertised_port ? server->advertised_port : server->port,
	    server->slots, models, server->seq,
	    (unsigned long long)server->born);
	store_put("servers", server->id, json);
}

static void
server_init(struct server *server)
{
	static unsigned count;

	count++;
	snprintf(
	    server->ip, sizeof(server->ip), "%s.%u", net_prefix, 100 + count);
	server->port = server_port;
	pthread_mutex_init(&server->lock, NULL);
	server->born = 1764900000000ull + count;
	if (server->load_ms == 0)
		server->load_ms = 900;
	if (server->queue == 0)
		server->queue = QUEUE_DEFAULT;
}

void
server_start(struct server *server)
{
	server_init(server);
	http_listen(server->ip, server->port, server_handle, server);
	server_publish(server);
}

pid_t
server_fork(struct server *server)
{
	pid_t pid;

	server_init(server);
	pid = fork();
	if (pid < 0)
		stand_fail("cannot fork");
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		http_listen(server->ip, server->port, server_handle, server);
		for (;;)
			pause();
	}
	children[children_count++] = pid;
	return pid;
}

/* ---- Nodes
 * --------------------------------------------------------------------- */

void
node_start(struct node *node, unsigned index)
{
	char config[256];
	char log[256];
	FILE *file;
	int fd;

	snprintf(node->ip, sizeof(node->ip), "%s.%u", net_prefix, 10 + index);
	snprintf(
	    config, sizeof(config), "%s/%s.conf", temporary_folder, node->name);
	snprintf(log, sizeof(log), "%s/%s.log", temporary_folder, node->name);
	file = fopen(config, "w");
	if (file == NULL)
		stand_fail("cannot write %s", config);
	fprintf(file,
	    "node-name=%s\nrole=node\nmachine-class=frontend\n"
	    "serves=frontend\nip=%s\nzone=zone-a\nregion=region\n"
	    "zones.zone-a=region\nlisten.front=%s:%d\nlisten.ready=%s:%d\n"
	    "port-range=%d,%d\nbootstrap=true\nin-fault-budget=false\n"
	    "limits.cpu-share=0.5\nlimits.cores=1\nlimits.memory-mb=280\n"
	    "limits.max-fds=8200\nlimits.link-mbps=1000.0\n"
	    "limits.disk-mb=0\ndiscovery=platform\nentry=vip\n"
	    "heartbeat-ms=1200\n"
	    "contracts=base,drain,config,cost,recover,samples,stream,engine,"
	    "batch,platform\n"
	    "bounds.seed-lag-s=3\nbounds.addr-reuse-s=2\n"
	    "bounds.stable-ms=3000\nbounds.ack-ms=4000\n"
	    "bounds.catch-up-s=4.5\nbounds.drain-ms=2000\n"
	    "bounds.grace-s=8\nbounds.loss-slack-ms=200\n"
	    "bounds.config-apply-ms=2000\nbounds.downgrade-slack-ms=250\n"
	    "bounds.partition-slack-ms=5000\nbounds.recover-s=12\n"
	    "bounds.pass-ms=120\nbounds.retry-after-s=0\n"
	    "bounds.finish-s=10\nbounds.status-s=120\n"
	    "bounds.cancel-ms=3000\nbounds.settle-ms=1000\n"
	    "bounds.quota-overshoot=0.1\nbounds.fencing-enforced=%s\n"
	    "bounds.lease-ms=3000\nbounds.thaw-ms=300\n"
	    "platform.addr=%s.7:%d\nplatform.form=table\n"
	    "platform.writes-per-s=800\nplatform.reads-per-s=2000\n"
	    "platform.tx-ms=6.0\nplatform.part-writes-s=200\n"
	    "platform.row-bytes=65536\nplatform.across=false\n"
	    "platform.history-s=20\nplatform.blob-bytes=8388608\n"
	    "platform.blob-ms=25.0\nplatform.blob-mb-s=80.0\n",
	    node->name, node->ip, node->ip, front_port, node->ip, ready_port,
	    inner_port, inner_port, node->fencing ? "true" : "false",
	    net_prefix, node->store_port != 0 ? node->store_port : store_port);
	fclose(file);
	node->exited = false;
	node->pid = fork();
	if (node->pid < 0)
		stand_fail("cannot fork");
	if (node->pid == 0) {
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		setenv("KNAPWEEDBARROW_NODE_FILE", config, 1);
		execl("target/kwb-node", "target/kwb-node", "--metrics", "9464",
		    (char *)NULL);
		_exit(127);
	}
	for (fd = 0; fd < (int)nodes_count; fd++)
		if (nodes[fd] == node)
			break;
	if (fd == (int)nodes_count && nodes_count < NODES_MAX)
		nodes[nodes_count++] = node;
	record("node %s: started", node->name);
}

void
node_signal(struct node *node, int signal_number)
{
	record("node %s: signal %d (%s)", node->name, signal_number,
	    strsignal(signal_number));
	kill(node->pid, signal_number);
}

bool
node_has_exited(struct node *node)
{
	int status;

	if (node->exited)
		return true;
	if (waitpid(node->pid, &status, WNOHANG) != node->pid)
		return false;
	node->exited = true;
	node->exit_status = status;
	record("node %s: ended, %s %d", node->name,
	    WIFSIGNALED(status) ? "by signal" : "exit code",
	    WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
	return true;
}

void
node_wait_ready(struct node *node, unsigned timeout_ms)
{
	uint64_t deadline = now_ms() + timeout_ms;
	struct conn conn = {.fd = -1};
	struct msg msg;
	bool ready = false;

	while (!ready) {
		if (now_ms() > deadline || node_has_exited(node))
			stand_fail("node %s is not ready", node->name);
		conn.fd = client_connect(node->ip, ready_port, false);
		if (conn.fd >= 0 &&
		    conn_printf(
			&conn, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
		    msg_read(&conn, &msg, true) == 1) {
			ready = msg.status == 200;
			msg_free(&msg);
		}
		conn_close(&conn);
		if (!ready)
			sleep_ms(50);
	}
	record("node %s: ready", node->name);
}

/* ---- Clients
 * --------------------------------------------------------------------- */

int
client_connect(const char *ip, int port, bool small_buffers)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	struct timeval limit = {.tv_sec = 30};
	int segment = 1400;
	int buffer = 16384;
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &address.sin_addr);
	if (small_buffers) {
		/* Segments as of a network, not of loopback. */
		setsockopt(
		    fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
	}
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

struct answer
client_call(const char *ip, const char *method, const char *target,
    const char *headers, const char *body, unsigned timeout_ms)
{
	struct answer answer = {0};
	struct timeval limit = {.tv_sec = timeout_ms / 1000,
	    .tv_usec = (suseconds_t)(timeout_ms % 1000) * 1000};
	struct conn conn = {.fd = client_connect(ip, front_port, false)};
	size_t bytes = body != NULL ? strlen(body) : 0;

	if (conn.fd < 0) {
		answer.result = 0;
		return answer;
	}
	setsockopt(conn.fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (conn_printf(
		&conn, "%s %s HTTP/1.1\r\n%s", method, target, headers) &&
	    (body == NULL ||
		conn_printf(&conn, "Content-Length: %zu\r\n", bytes)) &&
	    conn_send(&conn, "\r\n", 2) &&
	    conn_send(&conn, body != NULL ? body : "", bytes))
		answer.result = msg_read(&conn, &answer.msg, true);
	conn_close(&conn);
	return answer;
}

/* ---- Batches
 * ---------------------------------------------------------------------- */

json_t *
item_json(const char *id, const char *path, const char *group,
    const char *model, const char *body, unsigned length_hint,
    const char *score_id, const char *score_host, const char *score_path)
{
	char *encoded = base64(body, strlen(body));
	char *score_body = base64("score", 5);
	char hint[32];
	char prefix[128];
	json_t *item;

	snprintf(hint, sizeof(hint), "%u", length_hint);
	snprintf(prefix, sizeof(prefix), "9c2e41:255,%s:16", id);
	item = json_pack("{s:s, s:s, s:{s:s, s:s, s:s, s:s}, s:s, s:i, s:s}",
	    "id", id, "path", path, "headers", "Model", model, "Token-Counts",
	    "271,400", "Prompt-Prefix", prefix, "Length-Hint", hint, "body",
	    encoded, "tokens", 671, "group", group);
	if (score_id != NULL)
		json_object_set_new(item, "scorer",
		    json_pack("{s:s, s:s, s:s, s:s}", "id", score_id,
			"hostname", score_host, "path", score_path, "body",
			score_body));
	free(encoded);
	free(score_body);
	return item;
}

const char *
json_text(const json_t *object, const char *name)
{
	return field(object, name);
}

void
config_put(unsigned version, bool single_version, bool has_other_model)
{
	char json[4096];

	snprintf(json, sizeof(json),
	    "{\"version\":%u,\"route-table\":["
	    "{\"name\":\"r-a\",\"hostname\":\"" HOST
	    "\",\"path-prefix\":\"" PLAIN_PATH "\","
	    "\"route-kind\":\"idempotent\",\"timeout-ms\":1500,"
	    "\"target-latency-ms\":150,\"priority\":2,"
	    "\"service\":\"" PLAIN_SERVICE "\",\"max-attempts\":4},"
	    "{\"name\":\"r-b\",\"hostname\":\"" HOST
	    "\",\"path-prefix\":\"" ONCE_PATH "\","
	    "\"route-kind\":\"non_idempotent\",\"timeout-ms\":1500,"
	    "\"target-latency-ms\":150,\"priority\":2,"
	    "\"service\":\"" PLAIN_SERVICE "\",\"max-attempts\":2},"
	    "{\"name\":\"r-e\",\"hostname\":\"" HOST
	    "\",\"path-prefix\":\"" STREAM_PATH "\","
	    "\"route-kind\":\"streaming\",\"resumable\":true,"
	    "\"timeout-ms\":10000,\"target-latency-ms\":500,"
	    "\"priority\":0,\"service\":\"" MODEL_SERVICE
	    "\",\"max-attempts\":3},"
	    "{\"name\":\"r-c\",\"hostname\":\"" HOST
	    "\",\"path-prefix\":\"" BATCH_PATH "\","
	    "\"route-kind\":\"rollout\",\"timeout-ms\":10000,"
	    "\"target-latency-ms\":500,\"run-deadline-ms\":12000,"
	    "\"item-ttl-s\":40,\"priority\":1,%s"
	    "\"service\":\"" MODEL_SERVICE "\",\"max-attempts\":3}],"
	    "\"services\":[{\"name\":\"" MODEL_SERVICE
	    "\",\"health-path\":\"/healthz\",\"max-conns\":140,"
	    "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":8,"
	    "\"kv-capacity\":40578,\"models\":[{\"name\":\"" MODEL "\"}%s]}},"
	    "{\"name\":\"" PLAIN_SERVICE
	    "\",\"health-path\":\"/healthz\",\"max-conns\":100,"
	    "\"protocol\":\"h1\",\"tls\":false}],"
	    "\"limits\":{\"max-header-bytes\":16384,"
	    "\"max-body-bytes\":33554432,\"header-timeout-ms\":3000,"
	    "\"idle-timeout-ms\":15000}}",
	    version, single_version ? "\"single-version\":true," : "",
	    has_other_model ? ",{\"name\":\"" OTHER_MODEL "\"}" : "");
	store_put("op", "config", json);
	record("operator: config %u", version);
}

void
version_put(unsigned version)
{
	char json[128];

	snprintf(json, sizeof(json), "{\"model\":\"" MODEL "\",\"version\":%u}",
	    version);
	store_put("op", "version/" MODEL, json);
	record("trainer: names version %u", version);
}

void
batch_submit(const char *ip, const char *path, const char *id,
    const char *model, unsigned step, unsigned min_version,
    unsigned target_groups, json_t *items)
{
	json_t *document = json_pack("{s:i, s:s, s:i, s:i, s:o}", "step",
	    (int)step, "model", model, "min-version", (int)min_version,
	    "target-groups", (int)target_groups, "requests", items);
	char *body = json_dumps(document, JSON_COMPACT);
	char headers[256];
	char target[256];
	struct answer answer;
	int status = 0;
	unsigned tries;

	snprintf(target, sizeof(target), "%s%s", path, id);
	snprintf(headers, sizeof(headers),
	    "Host: " HOST "\r\nAttempt-Id: %s\r\n"
	    "Content-Type: application/json\r\n",
	    id);
	for (tries = 0; tries < 5 && status != 202; tries++) {
		answer = client_call(ip, "POST", target, headers, body, 3000);
		status = answer.result == 1 ? answer.msg.status : 0;
		record("trainer: batch %s of %zu items at %s -> %d", id,
		    json_array_size(items), ip, status);
		msg_free(&answer.msg);
		if (status != 202)
			sleep_ms(200);
	}
	free(body);
	json_decref(document);
	if (status != 202)
		stand_fail("batch %s is not accepted", id);
}

json_t *
batch_read(const char *ip, const char *id)
{
	json_t *document = NULL;
	json_t *page;
	char target[256];
	struct answer answer;
	unsigned after = 0;

	for (;;) {
		snprintf(
		    target, sizeof(target), "/lots/%s?after=%u", id, after);
		answer = client_call(
		    ip, "GET", target, "Host: " HOST "\r\n", NULL, 3000);
		page = answer.result == 1 && answer.msg.status == 200
		    ? json_loadb(
			  answer.msg.body, answer.msg.body_bytes, 0, NULL)
		    : NULL;
		msg_free(&answer.msg);
		if (page == NULL) {
			json_decref(document);
			return NULL;
		}
		after =
		    (unsigned)json_integer_value(json_object_get(page, "next"));
		if (json_array_size(json_object_get(page, "results")) == 0 &&
		    document != NULL) {
			json_decref(page);
			return document;
		}
		if (document == NULL) {
			document = page;
			if (json_array_size(json_object_get(page, "results")) ==
			    0)
				return document;
			continue;
		}
		json_array_extend(json_object_get(document, "results"),
		    json_object_get(page, "results"));
		json_decref(page);
	}
}

json_t *
batch_wait(
    const char *ip, const char *id, unsigned results, unsigned timeout_ms)
{
	uint64_t deadline = now_ms() + timeout_ms;
	json_t *document = NULL;

	for (;;) {
		json_decref(document);
		document = batch_read(ip, id);
		if (json_array_size(json_object_get(document, "results")) >=
			results ||
		    now_ms() >= deadline)
			return document;
		sleep_ms(300);
	}
}

json_t *
result_of(json_t *document, const char *item)
{
	json_t *result;
	size_t i;

	json_array_foreach (json_object_get(document, "results"), i, result)
		if (strcmp(field(result, "id"), item) == 0)
			return result;
	return NULL;
}
