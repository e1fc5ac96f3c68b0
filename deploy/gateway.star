# One gateway on this machine, one worker beside it. `cresswheel check deploy/gateway.star` reads it.

load("classes.star", "classes")

gateway(
    name = "gateway-1",
    zone = "block-a",
    listen = "127.0.0.1:7100",
    http = "127.0.0.1:7180",
    # Leave time for the last answer of all to reach the client.
    answer_margin = ms(10),
)

classes()

fleet(
    gateways = 1,
    keep_alive = s(10),
    when_absent = "load",
    may_order = True,
)

# A worker that has just started can do a part of its work; how large a part grows until it is warm.
cold_start(from_share = 0.2, warm_up = s(10), multiple = 2, window = s(3))

worker(address = "127.0.0.1:7201", zone = "block-a")

limits(
    open_calls = 20000,
    open_bytes = mb(256),
    results_keep = minutes(5),
    results_bytes = mb(64),
    stop_within = s(5),
)
