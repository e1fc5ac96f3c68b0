# A plan: `cresswheel versions check deploy/plan.star` reads it, docs/SHIFTING.md has every name.

shift(
    function = "arrears",
    old = "7",
    new = "8",
    # An account keeps one version at every gateway.
    stick = "account",
    # Gateways that hear no conductor for so long go back to the old version.
    lease = s(60),
    keep_old = minutes(30),
)

step(share = percent(1), hold = minutes(30))
step(share = percent(10), hold = minutes(30))
# At 100 percent there is nothing left to compare with: this is the step that tells.
step(share = percent(90), hold = minutes(60))
step(share = percent(100), hold = minutes(30))

guard(classes = ["charge-estimate", "payment-post"], false_alarm = 0.01, worse = 1.5, least = 200)
