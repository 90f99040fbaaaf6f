/*
 * Logger: one line for each event, "module: time_ms= level= process= ..." and
 * the event's fields, written by a single call so that lines of several threads
 * never mix. A process with one thread may buffer its lines: then it never
 * blocks on a slow reader, and lines over the limit of a second are counted
 * instead of written.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "kwb.h"

#define LINE_MAX_BYTES 1024 /* longer lines are cut */

static const char *const level_names[] = {"debug", "info", "warn", "error"};
static enum kwb_log_level log_min_level = KWB_LOG_INFO;
static char process_name[KWB_NAME_MAX_BYTES] = "-";

void
kwb_log_init(const char *process, enum kwb_log_level min_level)
{
	kwb_text_copy(process_name, sizeof(process_name), process);
	log_min_level = min_level;
}

static bool buffered; /* lines go through the buffer */
static char buffer[KWB_LOG_BUFFER_BYTES];
static size_t buffer_bytes; /* used */
static uint64_t dropped;    /* lines since this was logged last */
/* The limit of a second: when its first line came, and its lines so far. */
static uint64_t second_ms;
static uint32_t second_lines;	 /* below the level of warnings */
static uint32_t second_warnings; /* warnings and errors */

void
kwb_log_enable_buffering(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	buffered = true;
}

void
kwb_log_flush(void)
{
	ssize_t written;

	if (buffer_bytes == 0)
		return;
	written = write(STDOUT_FILENO, buffer, buffer_bytes);
	if (written < 0 && errno != EAGAIN && errno != EINTR)
		written = (ssize_t)buffer_bytes; /* no reader: discard */
	if (written <= 0)
		return;
	buffer_bytes -= (size_t)written;
	memmove(buffer, buffer + written, buffer_bytes);
}

/*
 * Counts a line; false if it is over the limit of the second. In a new second,
 * first logs how many lines were dropped.
 */
static bool
line_is_allowed(enum kwb_log_level level, uint64_t wall_ms)
{
	if (wall_ms / 1000 != second_ms / 1000) {
		second_ms = wall_ms;
		second_lines = 0;
		second_warnings = 0;
		if (dropped > 0) {
			uint64_t count = dropped;

			dropped = 0;
			kwb_log(KWB_LOG_WARN, "log",
			    "event=lines_dropped count=%llu",
			    (unsigned long long)count);
		}
	}
	/* Counted apart, so that other lines never displace a warning. */
	if ((level < KWB_LOG_WARN ? ++second_lines : ++second_warnings) >
	    KWB_LOG_LINES_PER_S) {
		dropped++;
		return false;
	}
	return true;
}

/* Adds a line to the buffer; drops it if the buffer stays full. */
static void
line_buffer(const char *line, size_t length_bytes)
{
	if (buffer_bytes + length_bytes > sizeof(buffer))
		kwb_log_flush();
	if (buffer_bytes + length_bytes > sizeof(buffer)) {
		dropped++;
		return;
	}
	memcpy(buffer + buffer_bytes, line, length_bytes);
	buffer_bytes += length_bytes;
}

void
kwb_log(enum kwb_log_level level, const char *module, const char *format, ...)
{
	char line[LINE_MAX_BYTES];
	uint64_t wall_ms = kwb_clock_wall_ms();
	size_t used_bytes;
	int length;
	va_list args;

	if (level < log_min_level ||
	    (buffered && !line_is_allowed(level, wall_ms)))
		return;
	length = snprintf(line, sizeof(line),
	    "%s: time_ms=%llu level=%s process=%s ", module,
	    (unsigned long long)wall_ms, level_names[level], process_name);
	used_bytes = (size_t)length;
	va_start(args, format);
	length = vsnprintf(
	    line + used_bytes, sizeof(line) - used_bytes, format, args);
	va_end(args);
	if (length > 0)
		used_bytes += (size_t)length;
	if (used_bytes > sizeof(line) - 2)
		used_bytes = sizeof(line) - 2;
	line[used_bytes++] = '\n';
	if (buffered) {
		line_buffer(line, used_bytes);
		return;
	}
	if (write(STDERR_FILENO, line, used_bytes) < 0)
		return;
}
