/* Steps the wall clock of one process: LD_PRELOAD library, built by standins/preload.py.
 *
 * The file named by WALL_CLOCK_STEP holds a signed 64-bit count of nanoseconds, which is added to each reading of
 * CLOCK_REALTIME; it is mapped, so a write to it takes effect at once. Other clocks run on.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define NANOSECONDS 1000000000LL

static const volatile int64_t *step;
static int (*real_clock_gettime)(clockid_t, struct timespec *);

__attribute__((constructor)) static void map_step(void) {
    real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    const char *path = getenv("WALL_CLOCK_STEP");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof *step, PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED)
        step = mapped;
}

int clock_gettime(clockid_t id, struct timespec *now) {
    if (!real_clock_gettime)
        real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    int result = real_clock_gettime(id, now);
    if (result == 0 && step && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
        int64_t total = now->tv_sec * NANOSECONDS + now->tv_nsec + *step;
        now->tv_sec = total / NANOSECONDS;
        now->tv_nsec = total % NANOSECONDS;
    }
    return result;
}

time_t time(time_t *out) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (out)
        *out = now.tv_sec;
    return now.tv_sec;
}

int gettimeofday(struct timeval *restrict out, void *restrict zone) {
    (void)zone;
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    out->tv_sec = now.tv_sec;
    out->tv_usec = now.tv_nsec / 1000;
    return 0;
}
