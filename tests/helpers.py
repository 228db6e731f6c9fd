"""Settings, messages and helpers that several tests share."""

from __future__ import annotations

from typing import Any

from standins.loop import Loop
from winglift.config import settings as settings_module
from winglift.duties.duty import Fence
from winglift.duties.external_operation import OperationEvent
from winglift.duties.intent_log import IntentLog
from winglift.wire.cloud import MachineType
from winglift.wire.users import Kind, Priority, Submission

MACHINE_TYPE = MachineType(
    name="g4",
    cpus=32.0,
    gpus=4.0,
    memory_gb=256.0,
    cache_gb=60.0,
    fetch_gb_per_s=1.0,
    price=12.0,
    spot_price=4.0,
    boot_s=45.0,
    zones=["a", "b"],
)

SETTINGS = """
node = "node-0"
zone = "a"
client_listen = "127.0.0.1:8080"
back = "127.0.0.1:8081"
novel = 3

[services]
cloud = "127.0.0.1:8443"
state = "127.0.0.1:2379"

[settings]
nodes = 1
zones = ["a", "b"]
skew_ms = 25.0

[[settings.teams]]
name = "red"
cpus = 0.0
cpus_max = 0.0
gpus = 4.0
gpus_max = 10.0

[[settings.teams]]
name = "blue"
cpus = 0.0
cpus_max = 0.0
gpus = 4.0
gpus_max = 10.0

[settings.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 50.0
gang_peer_s = 5.0
cancel_s = 35.0

[settings.state]
rps = 120.0
write_rps = 50.0
value_kb = 4.0
txn_ops = 8

[settings.cloud]
rps = 5.0
list_lag_s = 3.0

[settings.machine_limits]
cpu = 0.5
mem_mb = 146.0
sockets = 700
"""


def run_simulated(coroutine):
    """Run a coroutine to its end in simulated time, without real waiting."""
    loop = Loop()
    task = loop.create_task(coroutine)
    assert loop.run(task.done, timeout_s=3600.0), "the coroutine did not end within 3600 simulated seconds"
    return task.result()


class OpenIntentLog(IntentLog):
    """Marks operations as recorded at once, without a state service."""

    def __init__(self) -> None:
        super().__init__(None, settings().settings.state, Fence(1, 1), 3.0)  # type: ignore[arg-type]
        self.loaded = True

    async def persist(self, operations):
        for operation in operations:
            if operation.is_open:
                operation.move(OperationEvent.RECORD, 0.0)


def settings() -> settings_module.Settings:
    return settings_module.parse(SETTINGS)


def spec(ref: str = "wk-000001", **changes: Any) -> Submission:
    fields: dict[str, Any] = {
        "ref": ref,
        "job_class": "c",
        "team": "red",
        "kind": Kind.ARRAY,
        "priority": Priority.NORMAL,
        "tasks": 2,
        "cpus": 5.0,
        "gpus": 1.0,
        "memory_gb": 20.0,
        "image": "img",
        "image_gb": 5.0,
        "one_zone": False,
        "spread": False,
        "spot": False,
        "estimate_s": 60.0,
        "checkpoint_s": 0.0,
        "save_s": 0.0,
    }
    return Submission(**(fields | changes))


SUBMISSION_JSON = {
    "ref": "wk-000412",
    "jobClass": "train",
    "owner": "red",
    "shape": "array",
    "urgency": "normal",
    "pieces": 3,
    "cpus": 8.0,
    "gpus": 1.0,
    "memGb": 64.0,
    "bundle": "img-07",
    "pullGb": 6.2,
    "rigTypes": ["g4"],
    "hall": None,
    "samePlace": False,
    "apart": False,
    "loaner": True,
    "expectedS": 240.0,
    "snapshotEveryS": 30.0,
    "snapshotS": 4.0,
    "dueS": 900.0,
}
