/* Lets system calls of one process fail: LD_PRELOAD library, built by standins/preload.py.
 *
 * The file named by FAILING_CALLS holds three 32-bit numbers and is mapped, so a write to it takes effect at once: an
 * errno, N (one call in N fails; 0: none does), and the seed of the draw. The call is not made when it fails.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

struct plan {
    int32_t error;
    uint32_t one_in;
    uint32_t seed;
};

static const volatile struct plan *plan;
static uint32_t state;

__attribute__((constructor)) static void map_plan(void) {
    const char *path = getenv("FAILING_CALLS");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof *plan, PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED) {
        plan = mapped;
        state = plan->seed | 1;
    }
}

static int fails(void) {
    if (!plan || !plan->one_in)
        return 0;
    state ^= state << 13; /* xorshift32 */
    state ^= state >> 17;
    state ^= state << 5;
    if (state % plan->one_in)
        return 0;
    errno = plan->error;
    return 1;
}

int accept4(int socket, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    if (!real)
        real = dlsym(RTLD_NEXT, "accept4");
    return fails() ? -1 : real(socket, address, length, flags);
}
