from hypothesis import HealthCheck, settings

# The same examples in every run, so that results are reproducible.
settings.register_profile(
    "steady",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("steady")
