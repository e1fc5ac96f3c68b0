# The planned size, for `cresswheel scale deploy/scale.star`; docs/SCALE.md tells of every name. Flags go before what
# stands here, such as `--gateways 20 --workers 100 --functions 1000`.

scale(
    # What all gateways have in common; each gets its own name and zone, and the fleet's number of gateways.
    settings = "fleet.star",
    gateways = 680,
    workers = 2000,
    functions = 18000,
    # What the workers have memory for.
    instances = 51000,
    # Calls a second of the whole fleet, and the part of them that a run makes.
    rate = 130000,
    rate_fraction = 0.02,
    # Half of the calls go to these few; each of the others is called evenly seldom.
    hot_functions = 50,
    hot_share = 0.5,
    # 1,600 a day.
    config_changes_per_hour = 67,
    # 150 restarts a day, three changed entries each.
    list_changes_per_hour = 19,
    zones = 5,
    regions = 2,
    seconds = 60,
)

network(
    within_zone = us(250),
    between_zones = ms(1),
    between_regions = ms(35),
    # The machines that give out the worker list and the settings, and what each can send in a second.
    sources = 4,
    source_bytes_per_s = mb(119),
)

function(
    memory_mb = 300,
    lanes = 4,
    load_time = ms(300),
    # Of a call, on one core.
    work = ms(5),
    # Bytes of a call.
    body = 200,
)
