# The operator's settings of a director, as a Starlark script. Its path is given on the command
# line:
#
#     tallyproxy --settings deploy/director.star
#
# Each function may be called at most once. A setting that is left out has the value that is written
# here, except storm's mode, whose default is "fixed", with or without a script. tallyproxy --check
# reads the script without serving requests. SIGHUP makes a running director read it again.

# Overload control: rejected requests and retry storms. See docs/storms.md.
storm(
    # Retry-after time that rejected clients are given. "guard": a reserved slot during a storm and
    # the default time otherwise; "fixed": always the default time; "silent": none.
    mode = "guard",
    # How far ahead slots are reserved, as a share of the longest retry-after time that clients
    # respect.
    reach = 1.0,
    # Number of windows that the reach is divided into.
    windows = 10,
    # A storm may begin when the ratio of requested work to the capacity of the caches is above this
    # value and there is at least one of the three signs below.
    rise = 1.25,
    surge = 4,          # sign: ratio of new to usual connections above this value
    repeats = 0.5,      # sign: share of retries among the requests above this value
    cold = 0.6,         # sign: capacity of the caches below this share of their warm capacity
    # Share of the capacity left by first attempts that may be reserved.
    promise = 0.9,
    clients = 4096,     # maximum number of stored reservations, which take 32 bytes each
)

# Idempotency keys: how requests with a key are recognized when clients retry them.
keys(
    # Maximum number of stored keys. When it is reached, idempotent requests with a new key are
    # rejected without being sent. By default, as many as fit into one sixteenth of the memory.
    # marks = 10000,

    # How long a key is stored after its last attempt, in dedup windows of the content type.
    remember = 20,
    # What happens to marked retries with an unknown key, whose first try may have run longer ago
    # than the dedup window. "abandon": they fail; "send": they are sent, and may run twice.
    strangers = "abandon",
)

# After the stop signal, the director stops once no client has connected for this long. The default
# is a quarter of the timeout for connections to a node.
# door(settle = ms(100))

# Number of cores that the director may use, at most the platform's limits.cores rounded up. A
# change needs a restart. See docs/cores.md.
# machine(cores = 4)

# Cache nodes that this director treats as draining, regardless of the endpoint list.
# avoid(boxes = ["box-3"])

# Unix socket at which the director reports its status on its own machine, for `tallyctl`. Only the
# director's user may open it.
# state(socket = "/run/tallyproxy/n3.sock")

# Gossip with other directors, if the platform's settings permit it. See docs/peers.md.
# peers(listen = "10.1.0.9:7946", seeds = ["10.1.0.8:7946"], key = "/etc/tallyproxy/peers.key", fleet = "depots")

log(level = "info")
