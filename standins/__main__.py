"""Runs the stand-ins on loopback: python -m standins FOLDER writes a settings file there and serves until stopped."""

from __future__ import annotations

import argparse
import asyncio
import pathlib

from . import cloud, state

TEMPLATE = """node = "node-0"
zone = "a"
client_listen = "127.0.0.1:{port}"
back = "127.0.0.1:{back}"

[services]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"

[settings]
nodes = 1
zones = ["a", "b"]
skew_ms = 25.0

[[settings.teams]]
name = "team"
cpus = 0.0
cpus_max = 0.0
gpus = 8.0
gpus_max = 16.0

[settings.workers]
report_s = 0.2
lease_s = 3.0
gang_wait_s = 10.0
gang_peer_s = 2.0
cancel_s = 10.0

[settings.state]
rps = 200.0
write_rps = 100.0
value_kb = 4.0
txn_ops = 8

[settings.cloud]
rps = 20.0
list_lag_s = 0.1

[settings.machine_limits]
cpu = 1.0
mem_mb = 256.0
sockets = 500
"""


async def serve(folder: pathlib.Path, port: int) -> None:
    ports = {"port": port, "back": port + 1, "state": port + 2, "cloud": port + 3}
    simulated_cloud = cloud.Cloud([("node-0", f"127.0.0.1:{port}")], run_s=lambda task: 5.0)
    state.application(state.StateService()).listen(ports["state"], "127.0.0.1")
    cloud.application(simulated_cloud).listen(ports["cloud"], "127.0.0.1")
    settings_path = folder / "settings.toml"
    settings_path.write_text(TEMPLATE.format(**ports))
    print(f"settings: {settings_path}; every task runs for 5 s")
    await asyncio.Event().wait()


def main() -> None:
    parser = argparse.ArgumentParser(prog="standins")
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--port", type=int, default=18080)
    args = parser.parse_args()
    try:
        asyncio.run(serve(args.folder, args.port))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
