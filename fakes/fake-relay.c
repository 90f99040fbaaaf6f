/*
 * Stand-in for the network between two processes: a TCP relay from --relay to
 * --target. Controls: cut (closes all connections, new ones at once), silent
 * (when its value changes, connections that are open stay open but pass no more
 * data; later ones work), drop_there and drop_back (data to, or from, the
 * target is discarded on every connection).
 */
#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fake.h"

#define CHUNK_BYTES 16384
#define POLL_MS 20

static struct fake_control controls[] = {
    {"cut", 0}, {"silent", 0}, {"drop_there", 0}, {"drop_back", 0}};

static struct kwb_address target;

static void *accept_connections(void *argument);
static void *connection_run(void *argument);
static bool forward_chunk(int from, int to, bool drop);
static int connect_to_target(void);
static int listen_at(const char *text);

int
main(int argc, char **argv)
{
	pthread_t thread;
	int *fd = malloc(sizeof(*fd));

	kwb_address_parse(
	    &target, fake_option(argc, argv, "--target", "127.0.0.1:1"));
	*fd = listen_at(fake_option(argc, argv, "--relay", "127.0.0.1:1"));
	if (*fd < 0)
		return 1;
	fake_start(fake_option(argc, argv, "--listen", "127.0.0.1:7300"), 4,
	    controls, sizeof(controls) / sizeof(controls[0]));
	pthread_create(&thread, NULL, accept_connections, fd);
	fake_wait_for_signal();
	return 0;
}

/* Thread: accepts connections and starts a thread for each. */
static void *
accept_connections(void *argument)
{
	int listen_fd = *(int *)argument;
	pthread_t thread;

	for (;;) {
		int *fd = malloc(sizeof(*fd));

		*fd = accept(listen_fd, NULL, NULL);
		if (*fd < 0 || fake_control_get("cut")) {
			close(*fd);
			free(fd);
			continue;
		}
		if (pthread_create(&thread, NULL, connection_run, fd) == 0)
			pthread_detach(thread);
	}
	return NULL;
}

/* Thread: forwards one connection in both directions until it closes. */
static void *
connection_run(void *argument)
{
	int client_fd = *(int *)argument, target_fd = connect_to_target();
	int64_t silent = fake_control_get("silent");
	struct pollfd polls[2] = {
	    {client_fd, POLLIN, 0}, {target_fd, POLLIN, 0}};
	bool open = target_fd >= 0;

	free(argument);
	while (open && !fake_control_get("cut")) {
		/* Changed since this connection was accepted: pass nothing. */
		if (fake_control_get("silent") != silent) {
			kwb_clock_sleep_ns(POLL_MS * KWB_MS_NS);
			continue;
		}
		if (poll(polls, 2, POLL_MS) <= 0)
			continue;
		if (polls[0].revents != 0)
			open = forward_chunk(client_fd, target_fd,
			    fake_control_get("drop_there"));
		if (open && polls[1].revents != 0)
			open = forward_chunk(target_fd, client_fd,
			    fake_control_get("drop_back"));
	}
	close(client_fd);
	if (target_fd >= 0)
		close(target_fd);
	return NULL;
}

/* Returns false when either side has closed the connection. */
static bool
forward_chunk(int from, int to, bool drop)
{
	char chunk[CHUNK_BYTES];
	ssize_t received = read(from, chunk, sizeof(chunk)), sent = 0, part;

	if (received <= 0)
		return false;
	while (!drop && sent < received) {
		part = send(
		    to, chunk + sent, (size_t)(received - sent), MSG_NOSIGNAL);
		if (part <= 0)
			return false;
		sent += part;
	}
	return true;
}

/* Returns the socket, or -1. */
static int
connect_to_target(void)
{
	struct sockaddr_in in = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	in.sin_port = htons(target.port);
	inet_pton(AF_INET, target.ip, &in.sin_addr);
	if (connect(fd, (struct sockaddr *)&in, sizeof(in)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Listens at "IP:PORT"; returns the socket, or -1. */
static int
listen_at(const char *text)
{
	struct sockaddr_in in = {.sin_family = AF_INET};
	struct kwb_address address;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	kwb_address_parse(&address, text);
	in.sin_port = htons(address.port);
	inet_pton(AF_INET, address.ip, &in.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&in, sizeof(in)) != 0 ||
	    listen(fd, 64) != 0)
		return -1;
	return fd;
}
