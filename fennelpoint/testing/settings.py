"""Settings of a small site, in the platform's names; tests, demo and benchmarks change what they need."""

SETTINGS = {
    "me": 0, "balancers": 2, "zone": 0, "tick_s": 0.004, "zones": ["room"], "shapes": ["std"],
    "bounds": {"max_attempts": 4, "retry_after": True, "max_retry_after_s": 0.5, "connect_timeout_s": 0.25,
               "idle_close_s": 15.0, "cancel": True},
    "rules": {"drain_grace_s": 0.5, "cold_share": 0.2, "ramp_time_s": 10.0, "tip_multiple": 2.0,
              "fall_s": 2.0, "answer_slack_s": 0.016},
    "extra": {"has_counter": True, "count_wait_s": 0.05, "units_top": 3},
    "grades": [{"name": "look", "aim_s": 0.8, "give_up_s": 2.0, "worth": 1.0, "repeat": "pure"},
               {"name": "book", "aim_s": 1.5, "give_up_s": 7.5, "worth": 3.0, "repeat": "side_effect"}],
    "contracts": [{"name": "basic", "pays": 1.0, "quota_rate": 100.0, "store_size": 200.0}],
}
