# Policy of the Operator's floor: an assessor model that reads building
# applications. Stale drafts mislead it, so staleness weighs more than idle time.

traffic_class(name = "rollout", weight = 100, queue_limit = 4096)
traffic_class(name = "lookup", weight = 5, queue_limit = 256)
traffic_class(name = "registry", weight = 0, queue_limit = 64)

retry_budget(percent = 20, minimum_per_second = 20)

service(name = "assessor-lm", kind = "engine", audience = "public")

service(
    name = "permit-desk",
    kind = "plain",
    audience = "public",
    operations = [
        operation(name = "status", repeatable = True, traffic_class = "lookup", timeout_ms = 3000, hedge_ms = 250),
        operation(name = "register", repeatable = False, traffic_class = "registry", timeout_ms = 5000),
    ],
)

# A sample may be at most one version behind the one that the trainer trains.
trainer(name = "assessor", service = "assessor-lm", max_staleness = 1, traffic_class = "rollout")

# The keys of these examples are the callers' names; replace the digests.
caller(
    name = "assessor",
    key_sha256 = "f11456540629ae942ff3f9544d0f3f2f3355ef1e80326c1310281e0d9ab13ac0",
    audience = "public",
    trainer = "assessor",
)
caller(name = "clerks", key_sha256 = "948248193c94dc4626e3c5e049918ae22aaee71873fe9a80a5ba817a2572c3fc", audience = "public", max_in_flight = 256)
caller(name = "registry", key_sha256 = "872491a30d60d598962de6e7b834ab76b2aa65fbab102c6ebaaae6acdc238822", audience = "internal")

def accepts(trainer, sample_version, current_version):
    return current_version - sample_version <= 1

def on_failure(service, operation, attempt):
    return "retry" if attempt < 3 else "refuse"

def test_one_version_behind_is_accepted():
    expect(got = accepts("assessor", 6, 7), want = True)

def test_two_versions_behind_are_refused():
    expect(got = accepts("assessor", 5, 7), want = False)

def test_gives_up_after_three_tries():
    expect(got = on_failure("permit-desk", "status", 3), want = "refuse")
