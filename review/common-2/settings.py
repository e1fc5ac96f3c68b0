"""Settings of `cresswheel gateway` as in deploy/gateway.star and deploy/classes.star, with free ports."""


def script(worker_ports, gateway="", limits=""):
    workers = "\n".join('worker(address = "127.0.0.1:%d", zone = "block-a")' % port for port in worker_ports)
    return """
gateway(name = "gateway-1", zone = "block-a", listen = "127.0.0.1:0", http = "127.0.0.1:0", answer_margin = ms(10)%s)
call_class(name = "balance-check", aim = ms(600), give_up = s(5), effect = "safe", worth = 2, late_worth = 0.3)
call_class(name = "charge-estimate", aim = ms(1200), give_up = s(5), effect = "safe", worth = 3, late_worth = 0.2)
call_class(name = "payment-post", aim = ms(600), give_up = s(5), effect = "unsafe", worth = 3, late_worth = 0.3)
fleet(gateways = 1, keep_alive = s(10), when_absent = "load", may_order = True)
cold_start(from_share = 0.2, warm_up = s(10), multiple = 2, window = s(3))
%s
limits(open_calls = 20000, open_bytes = mb(256), results_keep = minutes(5), results_bytes = mb(64), stop_within = s(5)%s)
""" % (gateway, workers, limits)
