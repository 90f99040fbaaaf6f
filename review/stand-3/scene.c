#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <arpa/inet.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "scene.h"

#define READY_TIMEOUT_MS 15000
#define CALL_TIMEOUT_MS 12000

double
scene_seconds(const struct scene *scene)
{
	return (double)(kwb_clock_now_ns() - scene->started_ns) / 1e9;
}

static void
note(struct scene *scene, const char *prefix, const char *format, va_list args)
{
	fprintf(scene->record, "%8.3f %s", scene_seconds(scene), prefix);
	vfprintf(scene->record, format, args);
	fprintf(scene->record, "\n");
	fflush(scene->record);
}

void
scene_note(struct scene *scene, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	note(scene, "", format, args);
	va_end(args);
}

void
scene_breach(struct scene *scene, const char *format, ...)
{
	va_list args;

	scene->breaches++;
	va_start(args, format);
	note(scene, "BROKEN: ", format, args);
	va_end(args);
}

static void
nodes_end(struct scene *scene)
{
	unsigned i;

	for (i = 0; i < scene->nodes_count; i++) {
		if (scene->nodes[i].pid <= 0)
			continue;
		kill(scene->nodes[i].pid, SIGKILL);
		waitpid(scene->nodes[i].pid, NULL, 0);
		scene->nodes[i].pid = 0;
	}
}

void
scene_abort(struct scene *scene, const char *why)
{
	scene_note(scene, "the case could not run: %s", why);
	nodes_end(scene);
	exit(SCENE_EXIT_NOT_RUN);
}

void
scene_init(struct scene *scene, const char *folder)
{
	const char *trouble = getenv("TROUBLE");
	char path[256];

	memset(scene, 0, sizeof(*scene));
	signal(SIGPIPE, SIG_IGN);
	srandom((unsigned)getpid());
	scene->started_ns = kwb_clock_now_ns();
	scene->has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	scene->extra_settings = "";
	scene->network = 256 + (unsigned)getpid() % 60000;
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	scene->record = fopen(path, "w");
	if (scene->record == NULL)
		exit(SCENE_EXIT_NOT_RUN);
	snprintf(scene->directory, sizeof(scene->directory),
	    "/tmp/review-XXXXXX");
	if (mkdtemp(scene->directory) == NULL)
		exit(SCENE_EXIT_NOT_RUN);
	testbed_init(&scene->testbed);
	scene_note(scene, "start, disruption %s",
	    scene->has_trouble ? "on" : "off");
}

int
scene_finish(struct scene *scene)
{
	const char *keep = getenv("KEEP_LOGS");
	unsigned i;

	nodes_end(scene);
	scene_note(scene, "end, rule %s (%u)",
	    scene->breaches > 0 ? "broken" : "held", scene->breaches);
	for (i = 0; keep == NULL && i < scene->nodes_count; i++) {
		unlink(scene->nodes[i].settings);
		unlink(scene->nodes[i].log);
	}
	if (keep == NULL)
		rmdir(scene->directory);
	else
		fprintf(stderr, "%s\n", scene->directory);
	fclose(scene->record);
	return scene->breaches > 0 ? SCENE_EXIT_BROKEN : SCENE_EXIT_HELD;
}

void
scene_run_for(struct scene *scene, unsigned ms)
{
	testbed_run_for(&scene->testbed, ms);
}

/* ---- Nodes --------------------------------------------------------------- */

struct scene_node *
scene_node_add(struct scene *scene, const char *name)
{
	struct scene_node *node = &scene->nodes[scene->nodes_count++];
	FILE *file;

	kwb_text_copy(node->name, sizeof(node->name), name);
	snprintf(node->ip, sizeof(node->ip), "127.%u.%u.%u",
	    scene->network >> 8 & 255, scene->network & 255,
	    scene->nodes_count + 10);
	kwb_text_copy(node->front.ip, sizeof(node->front.ip), node->ip);
	node->front.port = 8149;
	node->ready = node->front;
	node->ready.port = 8141;
	snprintf(node->settings, sizeof(node->settings), "%s/%s.conf",
	    scene->directory, name);
	snprintf(
	    node->log, sizeof(node->log), "%s/%s.log", scene->directory, name);
	file = fopen(node->settings, "w");
	if (file == NULL)
		scene_abort(scene, "no settings file");
	fprintf(file,
	    "node-name=%s\nrole=node\nmachine-class=frontend\n"
	    "serves=frontend\nip=%s\nzone=z1\nregion=r1\nzones.z1=r1\n"
	    "listen.front=%s:8149\nlisten.ready=%s:8141\n"
	    "port-range=7380,7395\nbootstrap=true\n"
	    "limits.cpu-share=0.5\nlimits.cores=1\nlimits.memory-mb=280\n"
	    "limits.max-fds=8200\nlimits.link-mbps=1000.0\n"
	    "limits.disk-mb=0\ndiscovery=platform\nentry=vip\n"
	    "heartbeat-ms=1200\nbounds.seed-lag-s=3\nbounds.addr-reuse-s=2\n"
	    "bounds.stable-ms=3000\nbounds.ack-ms=4000\n"
	    "bounds.catch-up-s=4.5\nbounds.drain-ms=2000\nbounds.grace-s=8\n"
	    "bounds.loss-slack-ms=200\nbounds.config-apply-ms=2000\n"
	    "bounds.downgrade-slack-ms=250\nbounds.partition-slack-ms=5000\n"
	    "bounds.recover-s=12\nbounds.pass-ms=120\n"
	    "bounds.retry-after-s=0\nbounds.finish-s=10\n"
	    "bounds.cancel-ms=3000\nbounds.settle-ms=1000\n"
	    "bounds.quota-overshoot=0.1\nbounds.fencing-enforced=true\n"
	    "bounds.lease-ms=3000\nbounds.thaw-ms=300\n"
	    "platform.addr=%s:%u\nplatform.form=table\n"
	    "platform.writes-per-s=800\nplatform.reads-per-s=2000\n"
	    "platform.tx-ms=6.0\nplatform.part-writes-s=200\n"
	    "platform.row-bytes=65536\nplatform.across=false\n"
	    "platform.history-s=20\nplatform.blob-bytes=8388608\n"
	    "platform.blob-ms=25.0\nplatform.blob-mb-s=80.0\n"
	    "%s",
	    name, node->ip, node->ip, node->ip,
	    scene->testbed.store.port.address.ip,
	    scene->testbed.store.port.address.port,
	    scene->extra_settings[0] != '\0' ? scene->extra_settings
					     : "bounds.status-s=120\n");
	fclose(file);
	return node;
}

void
scene_node_start(struct scene *scene, struct scene_node *node)
{
	char variable[256];
	char home[] = "HOME=/tmp";
	char path[256];
	char *environment[] = {variable, home, path, NULL};
	int fd;

	snprintf(variable, sizeof(variable), "KNAPWEEDBARROW_NODE_FILE=%s",
	    node->settings);
	snprintf(path, sizeof(path), "PATH=%s",
	    getenv("PATH") ? getenv("PATH") : "/usr/bin:/bin");
	node->pid = fork();
	if (node->pid < 0)
		scene_abort(scene, "no process");
	if (node->pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(node->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		for (fd = 3; fd < 1024; fd++)
			close(fd);
		execle("target/kwb-node", "target/kwb-node", "--metrics",
		    "9464", (char *)NULL, environment);
		_exit(127);
	}
	scene_note(scene, "node %s: started", node->name);
}

void
scene_node_signal(struct scene *scene, struct scene_node *node, int number)
{
	scene_note(scene, "node %s: signal %d (%s)", node->name, number,
	    strsignal(number));
	if (node->pid <= 0)
		return;
	kill(node->pid, number);
	if (number != SIGKILL)
		return;
	waitpid(node->pid, NULL, 0);
	node->pid = 0;
}

bool
scene_node_wait_end(struct scene *scene, struct scene_node *node, unsigned ms)
{
	uint64_t end_ns = kwb_clock_now_ns() + ms * KWB_MS_NS;
	int status;

	while (node->pid > 0 && kwb_clock_now_ns() < end_ns) {
		if (waitpid(node->pid, &status, WNOHANG) == node->pid) {
			node->pid = 0;
			scene_note(scene, "node %s: ended, wait status %d",
			    node->name, status);
			break;
		}
		scene_run_for(scene, 10);
	}
	return node->pid == 0;
}

static unsigned
call_address(struct scene *scene, const struct kwb_address *address,
    const char *method, const char *target, const char *headers,
    const void *body, size_t body_bytes, unsigned ms,
    struct scene_reply *reply)
{
	struct scene_channel channel;
	unsigned status;

	scene_channel_open(scene, &channel, address);
	scene_channel_send(
	    &channel, method, target, headers, body, body_bytes);
	scene_channel_wait(&channel, ms);
	status = channel.reply.status;
	if (reply != NULL) {
		*reply = channel.reply;
		memset(&channel.reply, 0, sizeof(channel.reply));
	}
	scene_channel_close(&channel);
	return status;
}

void
scene_wait_ready(struct scene *scene)
{
	uint64_t end_ns = kwb_clock_now_ns() + READY_TIMEOUT_MS * KWB_MS_NS;
	unsigned i = 0;

	while (i < scene->nodes_count) {
		if (scene->nodes[i].pid <= 0 ||
		    call_address(scene, &scene->nodes[i].ready, "GET",
			"/readyz", "", NULL, 0, 1000, NULL) == 200) {
			i++;
			continue;
		}
		if (kwb_clock_now_ns() >= end_ns)
			scene_abort(scene, "a node is not ready");
		scene_run_for(scene, 50);
	}
	scene_note(scene, "all nodes are ready");
}

void
scene_put_config(struct scene *scene, const char *text)
{
	testbed_store_put(&scene->testbed.store, "op", "config", text);
	scene_note(scene, "operator: config acknowledged: %.2000s", text);
}

/* ---- Clients ------------------------------------------------------------- */

static void
reply_try_parse(struct scene_channel *channel)
{
	struct evbuffer *input = bufferevent_get_input(channel->bev);
	struct evbuffer_ptr end =
	    evbuffer_search(input, "\r\n\r\n", 4, NULL);
	struct scene_reply *reply = &channel->reply;
	size_t head_bytes;
	size_t length = 0;
	char *head;
	char *line;

	if (channel->has_reply || end.pos < 0)
		return;
	head_bytes = (size_t)end.pos + 4;
	head = calloc(1, head_bytes + 1);
	evbuffer_copyout(input, head, head_bytes);
	line = strcasestr(head, "\r\nContent-Length:");
	if (line != NULL)
		length = strtoul(line + strlen("\r\nContent-Length:"), NULL, 10);
	if (evbuffer_get_length(input) >= head_bytes + length) {
		sscanf(head, "HTTP/1.1 %u", &reply->status);
		evbuffer_drain(input, head_bytes);
		reply->body = calloc(1, length + 1);
		reply->body_bytes = length;
		evbuffer_remove(input, reply->body, length);
		reply->is_whole = true;
		channel->has_reply = true;
	}
	free(head);
}

static void
channel_on_read(struct bufferevent *bev, void *context)
{
	(void)bev;
	reply_try_parse(context);
}

static void
channel_on_event(struct bufferevent *bev, short what, void *context)
{
	struct scene_channel *channel = context;

	(void)bev;
	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
		return;
	reply_try_parse(channel);
	channel->is_closed = true;
}

void
scene_channel_open(struct scene *scene, struct scene_channel *channel,
    const struct kwb_address *address)
{
	struct sockaddr_in to = {
	    .sin_family = AF_INET, .sin_port = htons(address->port)};

	memset(channel, 0, sizeof(*channel));
	channel->scene = scene;
	inet_pton(AF_INET, address->ip, &to.sin_addr);
	channel->bev = bufferevent_socket_new(
	    scene->testbed.base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(
	    channel->bev, channel_on_read, NULL, channel_on_event, channel);
	bufferevent_enable(channel->bev, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(
		channel->bev, (struct sockaddr *)&to, sizeof(to)) != 0)
		channel->is_closed = true;
}

void
scene_channel_send(struct scene_channel *channel, const char *method,
    const char *target, const char *headers, const void *body,
    size_t body_bytes)
{
	struct evbuffer *out = bufferevent_get_output(channel->bev);

	scene_reply_finish(&channel->reply);
	channel->has_reply = false;
	evbuffer_add_printf(
	    out, "%s %s HTTP/1.1\r\nHost: h.example\r\n%s", method, target,
	    headers);
	if (body != NULL)
		evbuffer_add_printf(out, "Content-Length: %zu\r\n", body_bytes);
	evbuffer_add_printf(out, "\r\n");
	if (body != NULL)
		evbuffer_add(out, body, body_bytes);
}

bool
scene_channel_wait(struct scene_channel *channel, unsigned ms)
{
	uint64_t end_ns = kwb_clock_now_ns() + ms * KWB_MS_NS;

	while (!channel->has_reply && !channel->is_closed &&
	    kwb_clock_now_ns() < end_ns)
		scene_run_for(channel->scene, 2);
	return channel->has_reply;
}

void
scene_channel_close(struct scene_channel *channel)
{
	scene_reply_finish(&channel->reply);
	if (channel->bev != NULL)
		bufferevent_free(channel->bev);
	channel->bev = NULL;
}

unsigned
scene_call(struct scene *scene, const struct scene_node *node,
    const char *method, const char *target, const char *headers,
    const void *body, size_t body_bytes, struct scene_reply *reply)
{
	return call_address(scene, &node->front, method, target, headers, body,
	    body_bytes, CALL_TIMEOUT_MS, reply);
}

void
scene_reply_finish(struct scene_reply *reply)
{
	free(reply->body);
	memset(reply, 0, sizeof(*reply));
}
