/* Lets system calls of one process fail: LD_PRELOAD library, built by standins/preload.py.
 *
 * The file named by FAILING_CALLS holds four 32-bit numbers and is mapped, so a write to it takes effect at once: an
 * errno, N (one call in N fails; 0: none does), the seed of the draw, and the set of calls (a bit each, CALL_*). A call
 * that fails is not made. With the errno 0 reads and writes are short instead: of one byte.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

enum { CALL_ACCEPT4 = 1, CALL_CONNECT = 2, CALL_SOCKET = 4, CALL_RECV = 8, CALL_SEND = 16, CALL_SHUTDOWN = 32,
       CALL_EPOLL_WAIT = 64 };

struct plan {
    int32_t error;
    uint32_t one_in;
    uint32_t seed;
    uint32_t calls;
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

static int drawn(uint32_t call) {
    if (!plan || !plan->one_in || !(plan->calls & call))
        return 0;
    state ^= state << 13; /* xorshift32 */
    state ^= state >> 17;
    state ^= state << 5;
    return state % plan->one_in == 0;
}

static int fails(uint32_t call) {
    if (!drawn(call))
        return 0;
    errno = plan->error;
    return 1;
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (!real) \
        real = dlsym(RTLD_NEXT, #name)

int accept4(int socket, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
    REAL(accept4);
    return fails(CALL_ACCEPT4) ? -1 : real(socket, address, length, flags);
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    return fails(CALL_CONNECT) ? -1 : real(socket, address, length);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    return fails(CALL_SOCKET) ? -1 : real(domain, type, protocol);
}

ssize_t recv(int socket, void *buffer, size_t length, int flags) {
    REAL(recv);
    if (length > 1 && drawn(CALL_RECV)) {
        if (plan->error == 0)
            return real(socket, buffer, 1, flags);
        errno = plan->error;
        return -1;
    }
    return real(socket, buffer, length, flags);
}

ssize_t send(int socket, const void *buffer, size_t length, int flags) {
    REAL(send);
    if (length > 1 && drawn(CALL_SEND)) {
        if (plan->error == 0)
            return real(socket, buffer, 1, flags);
        errno = plan->error;
        return -1;
    }
    return real(socket, buffer, length, flags);
}

int shutdown(int socket, int how) {
    REAL(shutdown);
    return fails(CALL_SHUTDOWN) ? -1 : real(socket, how);
}

int epoll_wait(int epoll, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    return fails(CALL_EPOLL_WAIT) ? -1 : real(epoll, events, most, timeout);
}
