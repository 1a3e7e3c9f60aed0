/* Preloaded into a gateway; makes chosen system calls fail and steps the wall clock.
 *
 * The plan is a file of a fixed layout (system_faults.py) that the process maps and the soak writes
 * at any time. A call fails while `remaining` of its kind is above 0; each failure decrements it.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum kind { ACCEPT, SOCKET, CONNECT, WRITE, SYNC, KINDS };

struct plan {
    _Atomic int32_t remaining[KINDS];
    int32_t number[KINDS];
    _Atomic int32_t failed[KINDS];
    int32_t unused;
    int64_t wall_step_ns;
};

static struct plan *plan;

__attribute__((constructor)) static void map_plan(void)
{
    const char *path = getenv("SOAK_FAULTS");
    int descriptor = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (descriptor < 0)
        return;
    void *at = mmap(NULL, sizeof(struct plan), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (at != MAP_FAILED)
        plan = at;
}

static int fails(enum kind kind)
{
    if (!plan)
        return 0;
    int32_t left = atomic_load(&plan->remaining[kind]);
    while (left > 0) {
        if (atomic_compare_exchange_weak(&plan->remaining[kind], &left, left - 1)) {
            atomic_fetch_add(&plan->failed[kind], 1);
            errno = plan->number[kind];
            return 1;
        }
    }
    return 0;
}

static int is_file(int descriptor)
{
    struct stat found;
    return fstat(descriptor, &found) == 0 && S_ISREG(found.st_mode);
}

#define NEXT(name) ((typeof(&name))dlsym(RTLD_NEXT, #name))

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags)
{
    return fails(ACCEPT) ? -1 : NEXT(accept4)(descriptor, address, length, flags);
}

int accept(int descriptor, struct sockaddr *address, socklen_t *length)
{
    return fails(ACCEPT) ? -1 : NEXT(accept)(descriptor, address, length);
}

int socket(int domain, int type, int protocol)
{
    int stream = domain == AF_INET && (type & 0xf) == SOCK_STREAM;
    return stream && fails(SOCKET) ? -1 : NEXT(socket)(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    int inet = address && address->sa_family == AF_INET;
    return inet && fails(CONNECT) ? -1 : NEXT(connect)(descriptor, address, length);
}

ssize_t write(int descriptor, const void *data, size_t size)
{
    int short_of = plan && atomic_load(&plan->remaining[WRITE]) > 0 && is_file(descriptor);
    return short_of && fails(WRITE) ? -1 : NEXT(write)(descriptor, data, size);
}

int fsync(int descriptor)
{
    return fails(SYNC) ? -1 : NEXT(fsync)(descriptor);
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    int done = NEXT(clock_gettime)(clock, now);
    if (done == 0 && plan && clock == CLOCK_REALTIME) {
        int64_t stepped = now->tv_sec * 1000000000LL + now->tv_nsec + plan->wall_step_ns;
        now->tv_sec = stepped / 1000000000LL;
        now->tv_nsec = stepped % 1000000000LL;
    }
    return done;
}
