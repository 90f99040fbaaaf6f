/*
 * Stand-in for the network between two processes: a TCP relay. Switches:
 * cut (closes and refuses), silent (connections open now pass nothing more
 * and stay open; new ones work), drop_there, drop_back (one direction of
 * every connection passes nothing).
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

static void *relay_run(void *argument);
static void *pair_run(void *argument);
static bool pass(int from, int to, bool drop);
static int dial(void);
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
	pthread_create(&thread, NULL, relay_run, fd);
	fake_wait_for_signal();
	return 0;
}

static void *
relay_run(void *argument)
{
	int listener = *(int *)argument;
	pthread_t thread;

	for (;;) {
		int *fd = malloc(sizeof(*fd));

		*fd = accept(listener, NULL, NULL);
		if (*fd < 0 || fake_control_get("cut")) {
			close(*fd);
			free(fd);
			continue;
		}
		if (pthread_create(&thread, NULL, pair_run, fd) == 0)
			pthread_detach(thread);
	}
	return NULL;
}

static void *
pair_run(void *argument)
{
	int near = *(int *)argument, far = dial();
	int64_t silent = fake_control_get("silent");
	struct pollfd polls[2] = {{near, POLLIN, 0}, {far, POLLIN, 0}};
	bool open = far >= 0;

	free(argument);
	while (open && !fake_control_get("cut")) {
		/* A higher number silences the connections open by then. */
		if (fake_control_get("silent") != silent) {
			kwb_clock_sleep_ns(POLL_MS * KWB_MS_NS);
			continue;
		}
		if (poll(polls, 2, POLL_MS) <= 0)
			continue;
		if (polls[0].revents != 0)
			open = pass(near, far, fake_control_get("drop_there"));
		if (open && polls[1].revents != 0)
			open = pass(far, near, fake_control_get("drop_back"));
	}
	close(near);
	if (far >= 0)
		close(far);
	return NULL;
}

static bool
pass(int from, int to, bool drop)
{
	char chunk[CHUNK_BYTES];
	ssize_t got = read(from, chunk, sizeof(chunk)), sent = 0, part;

	if (got <= 0)
		return false;
	while (!drop && sent < got) {
		part =
		    send(to, chunk + sent, (size_t)(got - sent), MSG_NOSIGNAL);
		if (part <= 0)
			return false;
		sent += part;
	}
	return true;
}

static int
dial(void)
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
