// Preloaded into a program: shifts its time of day by the milliseconds that stand in the file named by SOAK_CLOCK_FILE,
// a 64-bit number. Other clocks are left as they are.
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

constexpr std::int64_t nsPerSecond = 1'000'000'000;
constexpr std::int64_t nsPerMs = 1'000'000;
constexpr std::int64_t nsPerUs = 1'000;

const std::atomic<std::int64_t> *mappedShift()
{
    const char *path = std::getenv("SOAK_CLOCK_FILE");
    const int fd = path == nullptr ? -1 : open(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        return nullptr;
    }
    void *bytes = mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    return bytes == MAP_FAILED ? nullptr : static_cast<const std::atomic<std::int64_t> *>(bytes);
}

std::int64_t shiftNs()
{
    static const auto *shiftMs = mappedShift();
    return shiftMs == nullptr ? 0 : shiftMs->load(std::memory_order_relaxed) * nsPerMs;
}

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        const auto ns = std::int64_t{time->tv_sec} * nsPerSecond + time->tv_nsec + shiftNs();
        time->tv_sec = ns / nsPerSecond;
        time->tv_nsec = ns % nsPerSecond;
    }
    return result;
}

extern "C" int gettimeofday(timeval *time, void * /*zone*/) noexcept
{
    timespec now{};
    const int result = clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / nsPerUs;
    return result;
}

extern "C" time_t time(time_t *seconds) noexcept
{
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    if (seconds != nullptr) {
        *seconds = now.tv_sec;
    }
    return now.tv_sec;
}
