# The classes of calls that the examples share.

def classes():
    call_class(
        name = "balance-check",
        aim = ms(600),
        give_up = s(5),
        effect = "safe",
        worth = 2,
        late_worth = 0.3,
    )
    call_class(
        name = "charge-estimate",
        aim = ms(1200),
        give_up = s(5),
        effect = "safe",
        worth = 3,
        late_worth = 0.2,
    )
    call_class(
        name = "payment-post",
        aim = ms(600),
        give_up = s(5),
        effect = "unsafe",
        worth = 3,
        late_worth = 0.3,
    )
