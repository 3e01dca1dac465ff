"""Case 6: a lost answer to a watch leaves the fleet without news."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import lab as fleet  # noqa: E402

DRAIN_S = fleet.BOUNDS["drainS"]
SILENCE_S = 1.0
# The store is stable and the machines are in touch after stabilityWindowS.
CALM_S = 6.0


def configuration(version):
    return fleet.configuration(
        version,
        [fleet.rule("orders", "/orders/", "orders", kind="unsafe",
                    attempts=1)],
        ["orders", "other"])


async def send_steadily(lab, count_per_s):
    while True:
        asyncio.ensure_future(
            lab.send(random.choice(lab.hosts), "POST", "/orders/1",
                     body=b"an order"))
        await asyncio.sleep(1 / count_per_s)


async def wait_for_calm_store(lab):
    """Waits until the machines that call the store every few seconds have all
    done so less than 1.7 s ago, and none in the last 0.2 s."""
    while True:
        await asyncio.sleep(0.02)
        now = time.monotonic()
        ages = [now - at for at in lab.store.called_at.values()
                if now - at < 3.4]
        if len(ages) >= 2 * len(lab.zones) and \
                all(0.2 < age < 1.7 for age in ages):
            return


async def case(lab):
    await lab.store.put("config", "main", configuration(3))
    servers = [fleet.Backend(lab, "orders", zone, work_s=0.2)
               for zone in lab.zones for _ in range(2)]
    other = fleet.Backend(lab, "other", "a")
    for server in servers + [other]:
        await server.start()
    for zone in lab.zones:
        for number in range(3):
            lab.host(f"edge-{zone}-{number}", zone)
    lab.seeds = [lab.hosts[0].ip, lab.hosts[3].ip, lab.hosts[6].ip]
    for host in lab.hosts:
        await host.start()
    await lab.wait_ready(lab.hosts, 15)
    load = asyncio.ensure_future(send_steadily(lab, 30))
    await asyncio.sleep(7)
    # A change that all hosts get ends the watches of their start.
    other.warmup_s = 3
    await other.register()
    await asyncio.sleep(3)
    await wait_for_calm_store(lab)

    if fleet.TROUBLE:
        lab.record.write("disruption begins: the store's answers are lost")
        lab.store.turn_all_away("silent")
    await asyncio.sleep(0.1)
    # The write of a backend is done; only the answers are lost.
    other.warmup_s = 1.5
    await other.register()
    await asyncio.sleep(SILENCE_S - 0.1)
    lab.store.turn_all_away("serve")
    if fleet.TROUBLE:
        lab.record.write("disruption ends")
    await asyncio.sleep(CALM_S)

    leaving = servers[0]
    leaving.state = "draining"
    await leaving.register()
    acknowledged_at = time.monotonic()
    lab.record.write(f"acknowledged: {leaving.id} is draining")
    await asyncio.sleep(2 * DRAIN_S + 2)
    begun = len(leaving.runs)
    await leaving.leave()
    lab.record.write(f"exited: {leaving.id} after {begun} runs")
    await asyncio.sleep(1)
    load.cancel()
    await asyncio.sleep(3)

    late = [(at - acknowledged_at, request) for at, request in leaving.runs
            if at - acknowledged_at > DRAIN_S]
    lost = [request for _, request in late
            if lab.statuses.get(request) != 200]
    lab.record.write(f"late: {len(late)}, of which {len(lost)} were begun and "
                     "not answered with success")
    return [f"DRAIN: {request} reached {leaving.id} {delay:.2f} s after the "
            "acknowledgement" for delay, request in late]


fleet.main(FOLDER, ["a", "b", "c"], case)
