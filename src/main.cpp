#include "agent.hpp"
#include "base.hpp"
#include "bundle.hpp"
#include "entry.hpp"
#include "settings.hpp"
#include <fstream>
#include <sodium.h>
#include <sstream>
using namespace gooseberrywood;
int main(int argc, char** argv)
{
    if (sodium_init() < 0 || argc < 3) return 2;
    auto s = settings::load(argv[2]);
    if (!s) { fprintf(stderr, "%s\n", s.error().message.c_str()); return 78; }
    std::ifstream in(s->bundle_file); std::stringstream text; text << in.rdbuf();
    auto b = bundle::parse(text.str(), s->bundle_file);
    if (!b) { fprintf(stderr, "%s\n", b.error().message.c_str()); return 78; }
    if (std::string_view(argv[1]) == "entry") { auto e = entry::make_entry(*s, *b); if (!e) { fprintf(stderr, "%s\n", e.error().message.c_str()); return 1; } entry::run(**e); }
    else { auto e = agent::make_agent(*s, *b); if (!e) { fprintf(stderr, "%s\n", e.error().message.c_str()); return 1; } agent::run(**e); }
}
