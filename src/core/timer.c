/*
 * Timers of the event loop, armed for a deadline, and the clock that also
 * counts while the machine is suspended.
 */
#include <event2/event.h>
#include <sys/time.h>
#include <time.h>

#include "kwb_node.h"

struct event *
kwb_timer_new(struct event_base *base,
    void (*on_timer)(int fd, short what, void *context), void *context)
{
	return event_new(base, -1, 0, on_timer, context);
}

void
kwb_timer_arm(struct event *timer, uint64_t deadline_ns)
{
	uint64_t now_ns = kwb_clock_now_ns();
	uint64_t delay_us =
	    deadline_ns > now_ns ? (deadline_ns - now_ns) / 1000 : 0;
	struct timeval delay = {.tv_sec = (time_t)(delay_us / 1000000),
	    .tv_usec = (suseconds_t)(delay_us % 1000000)};

	event_add(timer, &delay);
}

uint64_t
kwb_boot_now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000000000ull + (uint64_t)ts.tv_nsec;
}
