/*
 * A node gets SIGTERM while a client reads an answer of a server slowly. The
 * node has read the whole request and the server's whole answer; grace-s is not
 * over. The client must get the whole answer.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "../stand/stand.h"

#define BODY_BYTES (3000 * 1000)
#define READ_BYTES 50000
#define READ_BYTES_PER_MS 500 /* 6 s in all */

static int
on_run(struct run *run)
{
	char *body = malloc(BODY_BYTES);
	bool ok;

	memset(body, 'x', BODY_BYTES);
	ok = conn_printf(run->conn,
		 "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
		 "Server-Stamp: stamp-%s-%s\r\nContent-Length: %d\r\n\r\n",
		 run->id, run->server->id, run->id, BODY_BYTES) &&
	    conn_send(run->conn, body, BODY_BYTES);
	record("server %s: ran %s, answer of %d bytes %s", run->server->id,
	    run->id, BODY_BYTES, ok ? "sent" : "not taken");
	free(body);
	return ok ? 1 : -1;
}

int
main(int argc, char **argv)
{
	static struct server server = {
	    .id = "i-plain1", .service = PLAIN_SERVICE, .slots = 6,
	    .hook = on_run};
	static struct node nodes[2] = {
	    {.name = "node-1", .fencing = true},
	    {.name = "node-2", .fencing = true}};
	struct conn conn = {.fd = -1};
	char *buffer = malloc(READ_BYTES);
	size_t got_bytes = 0;
	size_t head_bytes = 0;
	uint64_t sent_ms;
	uint64_t term_ms = 0;
	uint64_t end_ms;
	ssize_t got;
	char *end;
	bool whole;
	unsigned i;

	(void)argc;
	stand_begin(argv[1]);
	store_start();
	config_put(1, false, 20000);
	server_start(&server);
	for (i = 0; i < 2; i++)
		node_start(&nodes[i], i);
	for (i = 0; i < 2; i++)
		node_wait_ready(&nodes[i], 10000);
	sleep_ms(3500);

	conn.fd = client_connect(nodes[0].ip, FRONT_PORT, true);
	sent_ms = now_ms();
	record("client: sends its request to node-1, reads 500 kB a second");
	conn_printf(&conn,
	    "GET " PLAIN_PATH "large HTTP/1.1\r\nHost: " HOST "\r\n"
	    "Attempt-Id: 9c41d07be2a35f68\r\nDeadline-Ms: 20000\r\n\r\n");
	while ((got = recv(conn.fd, buffer, READ_BYTES, 0)) > 0) {
		if (head_bytes == 0) {
			end = memmem(buffer, (size_t)got, "\r\n\r\n", 4);
			if (end == NULL)
				stand_fail("the head comes in pieces");
			head_bytes = (size_t)(end - buffer) + 4;
			record("client: status line: %.12s", buffer);
			if (strncmp(buffer, "HTTP/1.1 200", 12) != 0)
				stand_fail("no success");
		}
		got_bytes += (size_t)got;
		if (got_bytes == head_bytes + BODY_BYTES)
			break;
		if (trouble && term_ms == 0 && now_ms() >= sent_ms + 500) {
			term_ms = now_ms();
			node_signal(&nodes[0], SIGTERM);
		}
		while (got_bytes > (now_ms() - sent_ms) * READ_BYTES_PER_MS)
			sleep_ms(5);
	}
	end_ms = now_ms();
	node_has_exited(&nodes[0]);
	whole = got_bytes == head_bytes + BODY_BYTES;
	record("client: got %zu of %d bytes of the body, %llu ms after its "
	       "request%s",
	    got_bytes - head_bytes, BODY_BYTES,
	    (unsigned long long)(end_ms - sent_ms),
	    whole ? "" : ", then the channel ended");
	if (term_ms != 0)
		record("client: that is %llu ms after the SIGTERM; grace-s is 8",
		    (unsigned long long)(end_ms - term_ms));
	if (!whole && term_ms != 0 && end_ms > term_ms + 8000)
		stand_fail("too slow: the grace is over");
	record("check: LOST: the channel ended without a whole answer: %s",
	    whole ? "no" : "yes");
	free(buffer);
	stand_end(whole ? 0 : 1);
}
