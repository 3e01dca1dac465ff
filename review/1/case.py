"""The machines are stopped and started in turn. Just before each one is back,
some backend servers are taken away; their entries are removed without a report
before, and they serve on for some seconds."""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import fleet
import site_twhsa as site
from backend import Backend
from store import Store

HOSTS_PER_ZONE = 3
DRAIN_S = fleet.BOUNDS["drainS"]
STABILITY_S = fleet.BOUNDS["stabilityWindowS"]
GRACE_S = fleet.BOUNDS["graceS"]
# The pause between two machines that are restarted.
RESTART_GAP_S = 2.0
# The time for which a machine is down.
DOWN_S = 0.5
# How many servers of each service leave, one after the other.
LEAVING = {"registry": 2, "permits": 2, "library": 1}
LEAVE_GAP_S = 0.08
# As many join soon after.
JOIN_AFTER_S = 0.5
JOIN_GAP_S = 0.2
# How long a server that has left serves on, beyond drainS.
LONGER_S = 8.0


class Play:
    def __init__(self, record, store, backends, hosts):
        self.record = record
        self.store = store
        self.backends = backends
        self.hosts = hosts
        self.left = {}  # server: when its removal was acknowledged
        self.disturbed = {}  # host: when it was last stopped or started
        self.number = 0

    def is_in_touch(self, host, at):
        """True unless the machine was stopped or started shortly before."""
        return at - self.disturbed.get(host, -1000) > STABILITY_S

    async def stop(self, host):
        self.record("planned", "SIGTERM", host.name)
        self.disturbed[host] = time.monotonic()
        host.leaving = True
        host.signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        while host.process.poll() is None:
            if time.monotonic() > until:
                host.signal(signal.SIGKILL)
            await asyncio.sleep(0.02)
        self.disturbed[host] = time.monotonic()

    async def start(self, host):
        host.start()
        self.disturbed[host] = time.monotonic()
        self.record("planned", "started", host.name)
        while not await host.probe():
            await asyncio.sleep(0.1)
        host.leaving = False

    async def restart_all(self, trouble):
        for host in random.sample(self.hosts, len(self.hosts)):
            if trouble:
                await self.stop(host)
                await asyncio.sleep(DOWN_S)
            leaving = await self.scale_in(host.zone)
            if trouble:
                await self.start(host)
            await asyncio.sleep(JOIN_AFTER_S)
            await self.scale_out(leaving)
            await asyncio.sleep(RESTART_GAP_S)

    def in_service(self, service, zone):
        servers = [
            b
            for b in self.backends
            if b.service == service and b not in self.left
        ]
        # Those in the zone of the machine first.
        return sorted(servers, key=lambda b: b.zone != zone)

    async def scale_in(self, zone):
        """Takes away some servers of each service."""
        leaving = []
        for service, count in LEAVING.items():
            leaving += self.in_service(service, zone)[:count]
        random.shuffle(leaving)
        for backend in leaving:
            await self.remove(backend)
            await asyncio.sleep(LEAVE_GAP_S)
        return leaving

    async def remove(self, backend):
        backend.beats.cancel()
        await self.store.delete("servers", backend.id)
        self.left[backend] = time.monotonic()
        self.record("planned", "entry removed", backend.id)

        async def end_later():
            await asyncio.sleep(DRAIN_S + LONGER_S)
            await backend.end()

        asyncio.create_task(end_later())

    async def scale_out(self, replaced):
        for old in replaced:
            await asyncio.sleep(JOIN_GAP_S)
            self.number += 1
            backend = Backend(
                self.store,
                self.record,
                f"i-{old.service}-{old.zone}-new-{self.number}",
                old.service,
                old.zone,
                work_s=old.work_s,
            )
            self.backends.append(await backend.start())


async def play(record, trouble, store, backends, hosts):
    await asyncio.sleep(8)
    this = Play(record, store, backends, hosts)
    traffic = [
        site.Traffic(record, hosts, method, target, timeout_ms, per_s)
        for method, target, timeout_ms, per_s in (
            ("GET", "/lookup/1", 2000, 35),
            ("POST", "/permit/1", 3000, 82.4),
            ("GET", "/manual/1", 2000, 14),
            ("DELETE", "/notice/1", 1500, 10.7),
        )
    ]
    for each in traffic:
        each.is_in_touch = this.is_in_touch
        each.start()
    await this.restart_all(trouble)
    await asyncio.sleep(DRAIN_S + LONGER_S + 0.5)
    for each in traffic:
        await each.stop()
    return judge(record, this, traffic)


def judge(record, this, traffic):
    sent = {a.id: a for each in traffic for a in each.answers}
    late = {}
    for backend, removed in this.left.items():
        for at, request_id in backend.arrivals:
            answer = sent.get(request_id)
            if answer is None or not answer.was_in_touch:
                continue
            if at > removed + DRAIN_S:
                late[request_id] = backend
                record("late", request_id, backend.id, f"{at - removed:.3f} s")
    cut = sorted(
        request_id
        for request_id in late
        if request_id in late[request_id].cut and sent[request_id].status != 200
    )
    for request_id in cut:
        record("cut", request_id, "answered", sent[request_id].status)
    record.verdict(
        f"DRAIN: {len(late)} requests reached {len(set(late.values()))} of"
        f" {len(this.left)} servers that had left, later than {DRAIN_S} s"
        " after the store had acknowledged that, by machines in touch;"
        f" {len(cut)} of them were cut when their server ended"
    )
    return len(late) > 0


async def case(record, trouble):
    store = Store(record)
    await store.put("config", "main", site.config(7, site.rules()))
    backends = await site.start_servers(store, record)
    with tempfile.TemporaryDirectory() as folder:
        group = fleet.Fleet(folder, store, record, fleet.ZONES, HOSTS_PER_ZONE)
        try:
            await group.start()
            if not await group.wait_ready(20):
                raise RuntimeError("the hosts did not become ready")
            return await play(record, trouble, store, backends, group.hosts)
        finally:
            group.stop()
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(
                    folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True
                )


fleet.main(case, HERE)
