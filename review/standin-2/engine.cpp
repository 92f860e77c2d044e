// A model worker: streams the events of an item as in PROTOCOL.md. Its answers have no length and
// end with their connection if the second argument is 1, else they come in chunks.
// Usage: engine ID UNFRAMED EVENT_MS RECORD; prints its port. An item's body says how many events
// its whole output has.
#include "common.hpp"

using namespace review;

namespace
{

std::string event_text(std::string const& id, int number)
{
    return id + "-" + std::to_string(number);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 5)
    {
        return 2;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::string const own_id = argv[1];
    bool const unframed = std::string(argv[2]) == "1";
    int const event_ms = std::atoi(argv[3]);
    // Several workers write to one file, a line at a time.
    int const log = open(argv[4], O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    auto const note = [&](std::string const& text)
    {
        auto const line = own_id + " " + text + "\n";
        (void)!write(log, line.data(), line.size());
    };
    server http;
    http.handle = [&](int fd, message const& request)
    {
        if (request.path() == "/-/report")
        {
            return send_all(fd, http_response(200, json{{"stage", "dual"},
                                                        {"models", json::array()},
                                                        {"busy", false},
                                                        {"seq", 0}}
                                                       .dump()));
        }
        auto const id = request.header("Attempt-Id");
        if (request.header("Expect-Instance") != own_id)
        {
            return send_all(fd, http_response(421, "", {{"Attempt-Id", id}, {"Not-Executed", "1"}}));
        }
        int const total = std::atoi(request.body.c_str());
        int const after = std::atoi(request.header("Last-Event-Id").c_str());
        note("begins " + id + " after event " + std::to_string(after) + " of " +
             std::to_string(total));
        std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: " + own_id +
                           "." + id + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n";
        head += unframed ? "Connection: close\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
        if (!send_all(fd, head))
        {
            return false;
        }
        for (int number = after + 1; number <= total; ++number)
        {
            sleep_ms(event_ms);
            auto event =
                "id: " + std::to_string(number) + "\ndata: " + event_text(id, number) + "\n\n";
            if (!unframed)
            {
                char size[32];
                std::snprintf(size, sizeof size, "%zx\r\n", event.size());
                event = size + event + "\r\n";
            }
            if (!send_all(fd, event))
            {
                note("is cut off from " + id + " at event " + std::to_string(number));
                return false;
            }
        }
        note("ends " + id + " with event " + std::to_string(total));
        return unframed ? false : send_all(fd, "0\r\n\r\n");
    };
    if (!http.start())
    {
        return 2;
    }
    std::printf("%u\n", static_cast<unsigned>(http.port));
    std::fflush(stdout);
    for (;;)
    {
        pause();
    }
}
