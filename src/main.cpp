#include "cli/report.hpp"
#include "cli/run.hpp"

#include <sodium.h>

#include <malloc.h>

namespace
{

/// Makes large buffers leave the process when they are released. By default, released ones soon
/// stay in the heap, so that one long response would take several times its size.
void return_large_buffers()
{
    constexpr int large_bytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, large_bytes);
    constexpr int kept_bytes = 2 * 1024 * 1024;
    mallopt(M_TRIM_THRESHOLD, kept_bytes);
}

} // namespace

int main(int argc, char** argv)
{
    return_large_buffers();
    // Must precede all other use of libsodium: it chooses the code for this CPU and opens the
    // generator of random numbers.
    if (sodium_init() < 0)
    {
        return gooseberrywood::cli::report(
            {gooseberrywood::base::result_code::internal, "libsodium can't be used"});
    }
    return gooseberrywood::cli::run(argc, argv);
}
