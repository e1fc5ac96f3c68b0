# A gateway that tenant portals keep connections open to, most of them idle: the gateway starts as many processes to
# hold them as the machine's limit of descriptors asks for.

load("classes.star", "classes")

gateway(
    name = "gateway-portal",
    zone = "block-a",
    listen = "127.0.0.1:7100",
    http = "127.0.0.1:7180",
)

classes()

fleet(gateways = 1, when_absent = "load")

worker(address = "127.0.0.1:7201", zone = "block-a")

limits(
    connections = 100000,
    # Asked to leave over this time when the gateway stops, so that a neighbour is not stormed.
    leave_over = s(20),
    stop_within = s(25),
)
