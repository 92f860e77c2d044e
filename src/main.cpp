#include "cli/report.hpp"
#include "cli/run.hpp"

#include <sodium.h>

int main(int argc, char** argv)
{
    // Must precede all other use of libsodium: it chooses the code for this CPU and opens the
    // generator of random numbers.
    if (sodium_init() < 0)
    {
        return gooseberrywood::cli::report(
            {gooseberrywood::base::result_code::internal, "libsodium can't be used"});
    }
    return gooseberrywood::cli::run(argc, argv);
}
