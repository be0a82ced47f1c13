# Policy of Qarmoud Arena's floor: opponent bots of game studios. An idle bot
# delays a release, so idle time weighs more than staleness.

traffic_class(name = "rollout", weight = 50, queue_limit = 4096)
traffic_class(name = "play", weight = 100, queue_limit = 512)
traffic_class(name = "lobby", weight = 5, queue_limit = 128)

retry_budget(percent = 20, minimum_per_second = 20)

service(name = "oracle-pool", kind = "engine", audience = "public")

service(
    name = "game-front",
    kind = "plain",
    audience = "public",
    operations = [
        operation(name = "move", repeatable = False, traffic_class = "play", timeout_ms = 5000),
        operation(name = "board", repeatable = True, traffic_class = "play", timeout_ms = 2000, hedge_ms = 250),
    ],
)

service(
    name = "lobby",
    kind = "plain",
    audience = "internal",
    operations = [
        operation(name = "fetch", repeatable = True, traffic_class = "lobby", timeout_ms = 2000),
    ],
)

trainer(name = "bots", service = "oracle-pool", max_staleness = 3, traffic_class = "rollout")

# The keys of these examples are the callers' names; replace the digests.
caller(
    name = "bots",
    key_sha256 = "10b8ecc0d7ffa69355fc2ad96eae450ee66556bf2f10dba7dc85a2fbcddcdea1",
    audience = "public",
    trainer = "bots",
)
caller(name = "players", key_sha256 = "afc0d772a2bbe700da332d7df72b783509ef96510ca4d293447cd8eabd3d68e1", audience = "public", max_in_flight = 1024)
caller(name = "arena", key_sha256 = "572e31f55b6ac1b13fd5f5665d44bef1e3474ccf39b983428d4d8c4493d041c5", audience = "internal")

def on_failure(service, operation, attempt):
    return "retry" if attempt < 3 else "refuse"

def test_retries_at_first():
    expect(got = on_failure("game-front", "board", 1), want = "retry")
