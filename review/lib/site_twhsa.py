"""The services and routes of the small site twhsa-gate, as far as cases need
them, and the traffic on them."""

import asyncio
import random
import time

import requester
from backend import Backend
from fleet import ZONES

DOMAIN = "piarco.example"
# Backend servers by service and zone, as in the site file.
SERVERS = {
    "registry": (4, 4, 3),
    "permits": (8, 6, 6),
    "library": (3, 2, 1),
}


def rule(name, kind, prefix, service, timeout_s, attempts=2):
    return {
        "name": name,
        "routeType": kind,
        "targetLatencyS": 1.2,
        "priority": 1,
        "match": {"pathPrefix": prefix},
        "action": {
            "service": service,
            "timeoutS": timeout_s,
            "maxAttempts": attempts,
        },
    }


def rules():
    return [
        rule("cert-lookup", "safe", "/lookup/", "registry", 2),
        rule("permit-approve", "unsafe", "/permit/", "permits", 1.5),
        rule("manual-dl", "download", "/manual/", "library", 2),
        rule("recall-notice", "unsafe", "/notice/", "library", 1.5),
    ]


def config(version, all_rules):
    return {
        "version": version,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
        "listeners": [{"host": DOMAIN, "rules": all_rules}],
        "clusters": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConnections": 390,
                "protocol": "h1",
                "tls": False,
            }
            for name in SERVERS
        ],
    }


# How long a request takes, in seconds.
WORK_S = {"registry": 0.41, "permits": 0.31, "library": 0.25}


async def start_servers(store, log):
    backends = []
    for service, counts in SERVERS.items():
        for zone, count in zip(ZONES, counts):
            for number in range(count):
                backend = Backend(
                    store,
                    log,
                    f"i-{service}-{zone}-{number}",
                    service,
                    zone,
                    work_s=WORK_S[service],
                )
                backends.append(await backend.start())
    return backends


class Traffic:
    """Requests on one route, to a random host of those that are in rotation."""

    def __init__(self, record, hosts, method, target, timeout_ms, per_s):
        self.record = record
        self.hosts = hosts
        self.method = method
        self.target = target
        self.timeout_ms = timeout_ms
        self.per_s = per_s
        self.answers = []
        self.task = None
        # Tells whether a machine is in touch at a moment.
        self.is_in_touch = lambda host, at: True

    def start(self):
        self.task = asyncio.create_task(self.send_on())

    async def stop(self):
        self.task.cancel()
        await asyncio.sleep(self.timeout_ms / 1000 + 1.2)

    async def send_on(self):
        while True:
            await asyncio.sleep(random.expovariate(self.per_s))
            # The platform sends new connections to hosts that are ready.
            hosts = [h for h in self.hosts if not h.leaving]
            asyncio.create_task(self.send(random.choice(hosts)))

    async def send(self, host):
        in_touch = self.is_in_touch(host, time.monotonic())
        answer = await requester.ask(
            self.record,
            host,
            self.method,
            self.target,
            DOMAIN,
            self.timeout_ms,
        )
        answer.host = host
        answer.was_in_touch = in_touch
        self.answers.append(answer)
        return answer
