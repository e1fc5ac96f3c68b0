# A gateway of a fleet: workers come from a list service, loads only by order, orders are rationed.

load("classes.star", "classes")

gateway(
    name = "gateway-a1",
    zone = "block-a",
    listen = "127.0.0.1:7101",
    http = "127.0.0.1:7181",
    list = ["127.0.0.1:7000", "127.0.0.1:7001"],
    # A gateway that starts without its list begins with the last one it had.
    state = "/tmp/cresswheel-a1",
)

classes()

tenant(name = "north", quota_per_s = 40)
tenant(name = "south", quota_per_s = 20)

fleet(
    gateways = 3,
    keep_alive = s(9.9),
    when_absent = "miss",
    drain_grace = s(1),
    kind_memory = {"std-4core": mb(108800)},
)

cold_start(from_share = 0.15, warm_up = s(18), multiple = 2, window = s(3))

ration(window = s(10), free = 4, per_call = 0.3)
