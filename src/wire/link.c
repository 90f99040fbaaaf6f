/*
 * Links: non-blocking TCP connections that carry frames, served by one epoll
 * thread. Both ends send heartbeats; a link that stays silent past its deadline
 * is closed even if the kernel still considers the connection open. Link ids
 * are never used again, so an operation on a closed link fails instead of
 * reaching a newer one.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kwb.h"
#include "wire.h"

#define EVENTS_MAX 64 /* per call of epoll_wait */
#define READ_CHUNK_BYTES 65536
#define CHECK_PERIOD_MS 50 /* between checks of all links' deadlines */
#define LISTEN_BACKLOG 512
/* A link's id is a rising number, shifted left by these bits, and its index. */
#define LINK_INDEX_BITS 16
#define LISTEN_EVENT_ID UINT64_MAX /* epoll data of the listening socket */

static void *loop_run(void *argument);
static void loop_accept(struct kwb_loop *loop);
static void loop_check_links(struct kwb_loop *loop);
static struct kwb_link *link_lock(struct kwb_loop *loop, uint64_t link_id);
static int link_add(struct kwb_loop *loop, int fd, uint32_t tag,
    bool is_connecting, uint64_t *link_id);
static void link_on_event(
    struct kwb_loop *loop, uint64_t link_id, uint32_t events);
static int link_read(struct kwb_loop *loop, uint64_t link_id);
static int link_count_unfinished(struct kwb_loop *loop, struct kwb_link *link);
static int link_flush(struct kwb_loop *loop, struct kwb_link *link);
static void link_watch_writable(
    struct kwb_loop *loop, struct kwb_link *link, bool writable);
static void link_discard_unsent(struct kwb_link *link);
static void link_drop(struct kwb_loop *loop, uint64_t link_id);
static int socket_set_options(int fd);
static uint64_t link_silence_max_ns(const struct kwb_link *link);
static bool frame_is_control(const struct Kwb__Wire__Frame *frame);

int
kwb_loop_init(
    struct kwb_loop *loop, const struct kwb_link_ops *ops, void *context)
{
	unsigned i;

	memset(loop, 0, sizeof(*loop));
	loop->ops = ops;
	loop->context = context;
	loop->listen_fd = -1;
	loop->next_link_number = 1;
	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (loop->epoll_fd < 0)
		return KWB_ERR_SYSTEM;
	pthread_mutex_init(&loop->links_lock, NULL);
	for (i = 0; i < KWB_LINKS_MAX; i++)
		pthread_mutex_init(&loop->links[i].lock, NULL);
	return 0;
}

int
kwb_loop_listen(struct kwb_loop *loop, const struct kwb_address *address)
{
	struct epoll_event event = {.events = EPOLLIN};
	struct sockaddr_in socket_address = {.sin_family = AF_INET};
	int on = 1;

	socket_address.sin_port = htons(address->port);
	if (inet_pton(AF_INET, address->ip, &socket_address.sin_addr) != 1)
		return KWB_ERR_ARGUMENT;
	loop->listen_fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (loop->listen_fd < 0)
		return KWB_ERR_SYSTEM;
	setsockopt(loop->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(loop->listen_fd, (struct sockaddr *)&socket_address,
		sizeof(socket_address)) != 0 ||
	    listen(loop->listen_fd, LISTEN_BACKLOG) != 0) {
		close(loop->listen_fd);
		loop->listen_fd = -1;
		return KWB_ERR_SYSTEM;
	}
	event.data.u64 = LISTEN_EVENT_ID;
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, loop->listen_fd, &event);
	return 0;
}

int
kwb_loop_start(struct kwb_loop *loop)
{
	if (pthread_create(&loop->thread, NULL, loop_run, loop) != 0)
		return KWB_ERR_SYSTEM;
	return 0;
}

void
kwb_loop_finish(struct kwb_loop *loop)
{
	unsigned i;

	loop->is_stopping = true;
	pthread_join(loop->thread, NULL);
	if (loop->listen_fd >= 0)
		close(loop->listen_fd);
	for (i = 0; i < KWB_LINKS_MAX; i++) {
		if (loop->links[i].id != 0)
			link_drop(loop, loop->links[i].id);
		pthread_mutex_destroy(&loop->links[i].lock);
	}
	close(loop->epoll_fd);
	pthread_mutex_destroy(&loop->links_lock);
}

int
kwb_loop_connect(struct kwb_loop *loop, const struct kwb_address *address,
    uint32_t tag, uint64_t *link_id)
{
	struct sockaddr_in socket_address = {.sin_family = AF_INET};
	int fd;

	socket_address.sin_port = htons(address->port);
	if (inet_pton(AF_INET, address->ip, &socket_address.sin_addr) != 1)
		return KWB_ERR_ARGUMENT;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return KWB_ERR_SYSTEM;
	if (socket_set_options(fd) != 0 ||
	    (connect(fd, (struct sockaddr *)&socket_address,
		 sizeof(socket_address)) != 0 &&
		errno != EINPROGRESS)) {
		close(fd);
		return KWB_ERR_WIRE_CLOSED;
	}
	return link_add(loop, fd, tag, true, link_id);
}

int
kwb_link_send(struct kwb_loop *loop, uint64_t link_id,
    const struct Kwb__Wire__Frame *frame)
{
	struct kwb_link *link = link_lock(loop, link_id);
	size_t used_before_bytes;
	int error;

	if (link == NULL)
		return KWB_ERR_WIRE_CLOSED;
	used_before_bytes = link->send_buffer.used_bytes;
	if (used_before_bytes > KWB_LINK_SEND_BUFFER_MAX_BYTES)
		error = KWB_ERR_WIRE_SIZE;
	else
		error = kwb_frame_pack(frame, &link->send_buffer);
	if (error == 0 && frame_is_control(frame))
		kwb_metric_add(KWB_METRIC_CONTROL_BYTES,
		    link->send_buffer.used_bytes - used_before_bytes);
	if (error == 0 && used_before_bytes == 0 && !link->is_connecting)
		link_flush(loop, link);
	pthread_mutex_unlock(&link->lock);
	return error;
}

/*
 * Shuts the socket down and makes the silence deadline expire; the loop's
 * thread then drops the link and calls on_close.
 */
void
kwb_link_close(struct kwb_loop *loop, uint64_t link_id)
{
	struct kwb_link *link = link_lock(loop, link_id);

	if (link == NULL)
		return;
	shutdown(link->fd, SHUT_RDWR);
	link->silence_deadline_ns = 0;
	pthread_mutex_unlock(&link->lock);
}

void
kwb_link_set_heartbeat_period(
    struct kwb_loop *loop, uint64_t link_id, uint64_t heartbeat_period_ns)
{
	struct kwb_link *link = link_lock(loop, link_id);

	if (link == NULL)
		return;
	if (heartbeat_period_ns >= KWB_HEARTBEAT_PERIOD_NS &&
	    heartbeat_period_ns != link->heartbeat_period_ns) {
		link->heartbeat_period_ns = heartbeat_period_ns;
		link->silence_deadline_ns =
		    kwb_clock_now_ns() + link_silence_max_ns(link);
	}
	pthread_mutex_unlock(&link->lock);
}

void
kwb_loop_heartbeat_now(struct kwb_loop *loop)
{
	unsigned i;

	for (i = 0; i < KWB_LINKS_MAX; i++) {
		pthread_mutex_lock(&loop->links[i].lock);
		loop->links[i].next_heartbeat_ns = 0;
		pthread_mutex_unlock(&loop->links[i].lock);
	}
}

/* Thread of the loop: handles events, and checks deadlines periodically. */
static void *
loop_run(void *argument)
{
	struct kwb_loop *loop = argument;
	struct epoll_event events[EVENTS_MAX];
	uint64_t next_check_ns = 0;
	int i, count;

	kwb_current_lists_register_thread();
	while (!loop->is_stopping) {
		count = epoll_wait(
		    loop->epoll_fd, events, EVENTS_MAX, CHECK_PERIOD_MS);
		for (i = 0; i < count; i++) {
			if (events[i].data.u64 == LISTEN_EVENT_ID)
				loop_accept(loop);
			else
				link_on_event(
				    loop, events[i].data.u64, events[i].events);
		}
		if (kwb_clock_now_ns() < next_check_ns)
			continue;
		next_check_ns =
		    kwb_clock_now_ns() + CHECK_PERIOD_MS * KWB_MS_NS;
		loop_check_links(loop);
	}
	kwb_current_lists_unregister_thread();
	return NULL;
}

static void
loop_accept(struct kwb_loop *loop)
{
	uint64_t link_id;
	int fd;

	while ((fd = accept4(loop->listen_fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		if (socket_set_options(fd) != 0) {
			close(fd);
			continue;
		}
		if (link_add(loop, fd, 0, false, &link_id) != 0)
			continue;
		loop->ops->on_open(loop->context, link_id, 0);
	}
}

/* Drops silent links and reports due heartbeats. */
static void
loop_check_links(struct kwb_loop *loop)
{
	uint64_t now_ns = kwb_clock_now_ns();
	uint64_t link_id;
	uint32_t tag;
	unsigned i;
	bool is_heartbeat_due, is_silent;

	for (i = 0; i < KWB_LINKS_MAX; i++) {
		struct kwb_link *link = &loop->links[i];

		pthread_mutex_lock(&link->lock);
		link_id = link->id;
		tag = link->tag;
		is_silent = link_id != 0 && now_ns >= link->silence_deadline_ns;
		if (is_silent && link->silence_deadline_ns != 0)
			link_discard_unsent(link);
		is_heartbeat_due = link_id != 0 && !link->is_connecting &&
		    now_ns >= link->next_heartbeat_ns;
		if (is_heartbeat_due)
			link->next_heartbeat_ns =
			    now_ns + link->heartbeat_period_ns;
		pthread_mutex_unlock(&link->lock);
		if (is_silent)
			link_drop(loop, link_id);
		else if (is_heartbeat_due)
			loop->ops->on_heartbeat(loop->context, link_id, tag);
	}
}

/*
 * A cut path may hold frames up. Once the link is given up they must not be
 * delivered any more, so its close becomes a reset.
 */
static void
link_discard_unsent(struct kwb_link *link)
{
	struct linger reset_on_close = {.l_onoff = 1, .l_linger = 0};

	if (setsockopt(link->fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
		sizeof(reset_on_close)) != 0)
		kwb_log(KWB_LOG_WARN, "link", "event=linger_failed fd=%d",
		    link->fd);
}

/* Returns the link, locked, or NULL if it is closed. */
static struct kwb_link *
link_lock(struct kwb_loop *loop, uint64_t link_id)
{
	unsigned link_index = link_id & ((1u << LINK_INDEX_BITS) - 1);
	struct kwb_link *link;

	if (link_id == 0 || link_index >= KWB_LINKS_MAX)
		return NULL;
	link = &loop->links[link_index];
	pthread_mutex_lock(&link->lock);
	if (link->id == link_id)
		return link;
	pthread_mutex_unlock(&link->lock);
	return NULL;
}

/*
 * Makes an unused link serve a socket and adds it to epoll. Closes the socket
 * if all KWB_LINKS_MAX links are in use.
 */
static int
link_add(struct kwb_loop *loop, int fd, uint32_t tag, bool is_connecting,
    uint64_t *link_id)
{
	struct epoll_event event;
	struct kwb_link *link = NULL;
	uint64_t now_ns = kwb_clock_now_ns();
	unsigned i;

	pthread_mutex_lock(&loop->links_lock);
	for (i = 0; i < KWB_LINKS_MAX && link == NULL; i++) {
		pthread_mutex_lock(&loop->links[i].lock);
		if (loop->links[i].id == 0)
			link = &loop->links[i];
		else
			pthread_mutex_unlock(&loop->links[i].lock);
	}
	if (link == NULL) {
		pthread_mutex_unlock(&loop->links_lock);
		close(fd);
		return KWB_ERR_MEMORY;
	}
	link->id = (loop->next_link_number++ << LINK_INDEX_BITS) |
	    (uint64_t)(link - loop->links);
	link->fd = fd;
	link->tag = tag;
	link->is_connecting = is_connecting;
	link->is_watching_writable = is_connecting;
	link->heartbeat_period_ns = KWB_HEARTBEAT_PERIOD_NS;
	link->silence_deadline_ns = now_ns + link_silence_max_ns(link);
	link->next_heartbeat_ns = now_ns + link->heartbeat_period_ns;
	kwb_buf_init(&link->receive_buffer);
	kwb_buf_init(&link->send_buffer);
	*link_id = link->id;
	event.events = EPOLLIN | (is_connecting ? (uint32_t)EPOLLOUT : 0);
	event.data.u64 = link->id;
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, fd, &event);
	pthread_mutex_unlock(&link->lock);
	pthread_mutex_unlock(&loop->links_lock);
	return 0;
}

/* Handles epoll events of a link: connected, writable, readable or failed. */
static void
link_on_event(struct kwb_loop *loop, uint64_t link_id, uint32_t events)
{
	struct kwb_link *link = link_lock(loop, link_id);
	uint32_t tag;
	socklen_t length = sizeof(int);
	int error = 0;
	bool is_opened = false;

	if (link == NULL)
		return;
	tag = link->tag;
	if ((events & EPOLLOUT) && link->is_connecting) {
		getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &length);
		is_opened = error == 0;
		link->is_connecting = false;
	}
	if (error == 0 && (events & EPOLLOUT))
		error = link_flush(loop, link);
	pthread_mutex_unlock(&link->lock);
	if (is_opened)
		loop->ops->on_open(loop->context, link_id, tag);
	if (error == 0 && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
		error = link_read(loop, link_id);
	if (error != 0)
		link_drop(loop, link_id);
}

/* Reads once; frames are handled without the link's lock. */
static int
link_read(struct kwb_loop *loop, uint64_t link_id)
{
	struct kwb_link *link = link_lock(loop, link_id);
	struct Kwb__Wire__Frame *frame;
	uint32_t tag;
	ssize_t read_bytes;
	int result;

	if (link == NULL)
		return 0;
	tag = link->tag;
	if (kwb_buf_reserve(&link->receive_buffer, READ_CHUNK_BYTES) != 0) {
		pthread_mutex_unlock(&link->lock);
		return KWB_ERR_MEMORY;
	}
	read_bytes = read(link->fd,
	    link->receive_buffer.data + link->receive_buffer.used_bytes,
	    READ_CHUNK_BYTES);
	if (read_bytes > 0) {
		link->receive_buffer.used_bytes += (size_t)read_bytes;
		link->silence_deadline_ns =
		    kwb_clock_now_ns() + link_silence_max_ns(link);
	}
	pthread_mutex_unlock(&link->lock);
	if (read_bytes == 0 ||
	    (read_bytes < 0 && errno != EAGAIN && errno != EINTR))
		return KWB_ERR_WIRE_CLOSED;
	/* Only this thread uses receive_buffer, so it needs no lock. */
	while ((result = kwb_frame_unpack(&link->receive_buffer, &frame)) > 0) {
		link->has_received = true;
		loop->ops->on_frame(loop->context, link_id, tag, frame);
	}
	return result == 0 ? link_count_unfinished(loop, link) : result;
}

/*
 * Counts what waits for the rest of its frame. An error if that is too much: a
 * peer that hasn't said hello can't have much to say, and all links together
 * have to fit in memory.
 */
static int
link_count_unfinished(struct kwb_loop *loop, struct kwb_link *link)
{
	uint64_t bytes = link->receive_buffer.used_bytes;

	loop->unfinished_bytes += bytes - link->unfinished_bytes;
	link->unfinished_bytes = bytes;
	if (link->receive_buffer.used_bytes == 0 &&
	    link->receive_buffer.capacity_bytes > 2 * READ_CHUNK_BYTES)
		kwb_buf_finish(&link->receive_buffer);
	if ((link->has_received || bytes <= KWB_FIRST_FRAME_MAX_BYTES) &&
	    loop->unfinished_bytes <= KWB_LOOP_RECEIVE_MAX_BYTES)
		return 0;
	kwb_metric_add(KWB_METRIC_HOLDERS_CLOSED, 1);
	kwb_log(KWB_LOG_WARN, "link",
	    "event=frame_refused bytes=%llu all_bytes=%llu hello=%d",
	    (unsigned long long)bytes,
	    (unsigned long long)loop->unfinished_bytes, link->has_received);
	return KWB_ERR_WIRE_SIZE;
}

/* Sends as much as the socket takes. Called with the link locked. */
static int
link_flush(struct kwb_loop *loop, struct kwb_link *link)
{
	ssize_t sent_bytes;

	while (link->send_buffer.used_bytes > 0) {
		sent_bytes = send(link->fd, link->send_buffer.data,
		    link->send_buffer.used_bytes, MSG_NOSIGNAL);
		if (sent_bytes < 0 && errno == EINTR)
			continue;
		if (sent_bytes < 0 && errno != EAGAIN)
			return KWB_ERR_WIRE_CLOSED;
		if (sent_bytes < 0)
			break;
		kwb_buf_consume(&link->send_buffer, (size_t)sent_bytes);
	}
	link_watch_writable(loop, link, link->send_buffer.used_bytes > 0);
	return 0;
}

/* Sets whether epoll reports when the link can be written. */
static void
link_watch_writable(struct kwb_loop *loop, struct kwb_link *link, bool writable)
{
	struct epoll_event event;

	if (link->is_watching_writable == writable)
		return;
	link->is_watching_writable = writable;
	event.events = EPOLLIN | (writable ? (uint32_t)EPOLLOUT : 0);
	event.data.u64 = link->id;
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, link->fd, &event);
}

/* Closes the link, which can be used again then, and calls on_close. */
static void
link_drop(struct kwb_loop *loop, uint64_t link_id)
{
	struct kwb_link *link = link_lock(loop, link_id);
	uint32_t tag;

	if (link == NULL)
		return;
	tag = link->tag;
	link->id = 0;
	loop->unfinished_bytes -= link->unfinished_bytes;
	link->unfinished_bytes = 0;
	link->has_received = false;
	close(link->fd);
	kwb_buf_finish(&link->receive_buffer);
	kwb_buf_finish(&link->send_buffer);
	pthread_mutex_unlock(&link->lock);
	kwb_metric_add(KWB_METRIC_LINKS_LOST, 1);
	loop->ops->on_close(loop->context, link_id, tag);
}

static int
socket_set_options(int fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK) < 0)
		return KWB_ERR_SYSTEM;
	return 0;
}

/* Control frames are those that belong to no single request. */
static bool
frame_is_control(const struct Kwb__Wire__Frame *frame)
{
	switch (frame->body_case) {
	case KWB__WIRE__FRAME__BODY_HELLO:
	case KWB__WIRE__FRAME__BODY_HEARTBEAT:
	case KWB__WIRE__FRAME__BODY_LISTS:
	case KWB__WIRE__FRAME__BODY_ORDER:
	case KWB__WIRE__FRAME__BODY_ORDER_REPLY:
		return true;
	default:
		return false;
	}
}

/* How long nothing may arrive before the link is closed. */
static uint64_t
link_silence_max_ns(const struct kwb_link *link)
{
	return KWB_LINK_TIMEOUT_HEARTBEATS * link->heartbeat_period_ns;
}
