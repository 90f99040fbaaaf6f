# knapweedbarrow. Targets: all, demo, check, bench, format, lint, sanitize.

CC ?= gcc
B ?= build
PACKAGES = libcivetweb-dev liburcu-dev libprotobuf-c-dev protobuf-c-compiler \
	libcyaml-dev libyaml-dev libcunit1-dev libcurl4-openssl-dev \
	libjansson-dev libxxhash-dev pkg-config
OPT ?= -O2
CFLAGS += -std=gnu11 -D_GNU_SOURCE -g $(OPT) -Wall -Wextra -Werror -Wmissing-prototypes \
	-Wno-unused-parameter -Wframe-larger-than=49152 -Iinclude -pthread $(SANITIZE)
LDFLAGS += -pthread $(SANITIZE)
LIBS = -lcivetweb -lurcu-memb -lurcu-common -lprotobuf-c -lcyaml -lcurl \
	-ljansson -lxxhash -lm

LIB_SRC = $(wildcard src/*/*.c)
LIB_OBJ = $(LIB_SRC:%.c=$(B)/%.o)
DAEMONS = $(B)/kwb-entry $(B)/kwb-agent $(B)/kwbctl
FAKES = $(B)/fake-platform $(B)/fake-engine $(B)/fake-service \
	$(B)/fake-relay $(B)/fake-trainer
EXAMPLES = $(patsubst examples/%.c,$(B)/examples/%,$(wildcard examples/*.c))
TESTS = $(B)/tests/unit $(B)/tests/faults
BENCHES = $(B)/bench/slopes $(B)/bench/policies

all: $(DAEMONS) $(FAKES) $(EXAMPLES)

$(B)/libkwb.a: $(LIB_OBJ)
	rm -f $@
	ar rcs $@ $^

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -c -o $@ $<

$(B)/kwb-%: $(B)/daemons/kwb-%.o $(B)/daemons/daemon.o $(B)/libkwb.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/kwbctl: $(patsubst %.c,$(B)/%.o,$(wildcard cli/*.c)) $(B)/libkwb.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

FAKE_OBJ = $(B)/fakes/fake.o $(B)/fakes/text.o $(B)/fakes/trainer.o

$(B)/fake-%: $(B)/fakes/fake-%.o $(FAKE_OBJ) $(B)/libkwb.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/examples/%: $(B)/examples/%.o $(B)/libkwb.a
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/bench/%: $(B)/bench/%.o $(B)/bench/measure.o $(B)/tests/world.o \
		$(B)/fakes/text.o $(B)/fakes/trainer.o $(B)/libkwb.a
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/tests/unit: $(B)/tests/unit.o $(B)/libkwb.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS) -lcunit

$(B)/tests/faults: $(B)/tests/faults.o $(B)/tests/session.o \
		$(B)/tests/session_faults.o $(B)/tests/world.o \
		$(B)/fakes/text.o $(B)/fakes/trainer.o $(B)/libkwb.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

.SECONDARY:
-include $(shell find $(B) -name '*.d' 2>/dev/null)
.PHONY: all clean
clean:
	rm -rf $(B)

packages:
	apt-get update -qq
	DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES) \
		clang-format clang-tidy cppcheck >/dev/null
