/*
 * What the measurements share: a process's own account, percentiles, a line
 * through points.
 */
#ifndef KWB_BENCH_MEASURE_H
#define KWB_BENCH_MEASURE_H

#include "../tests/world.h"

#define POINTS_MAX 8

struct account {
	double cpu_ms;
	double rss_kb;
	double control_bytes; /* sent, by the process's own counter */
};

struct line {
	unsigned count;
	double x[POINTS_MAX];
	double y[POINTS_MAX];
};

void account_take(
    struct cluster *world, const char *name, struct account *account);
void line_add(struct line *line, double x, double y);
void line_print(const struct line *line, const char *what, const char *per,
    const char *unit); /* the points, the slope and where it begins */
double percentile(double *values, unsigned count, double part);

#endif
