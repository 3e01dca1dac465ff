"""A stand-in for a backend server, after PROTOCOL.md."""

import asyncio
import time

import wire

QUEUE = 16
IDLE_CLOSE_S = 10.0


class Backend:
    def __init__(self, store, log, server_id, service, zone, **options):
        self.store = store
        self.log = log
        self.id = server_id
        self.service = service
        self.zone = zone
        self.slots = options.get("slots", 4)
        self.work_s = options.get("work_s", 0.1)
        self.beat_s = options.get("beat_s", 1.5)
        self.make_body = options.get("make_body", self.plain_body)
        self.spoil = options.get("spoil", lambda request_id: False)
        self.runs = []  # (time, request id, method, target)
        self.arrivals = []  # (time, request id)
        self.spoiled = []
        self.active = set()  # ids of the requests that it works on
        self.cut = set()  # ids of those at its end
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.writers = set()
        self.server = None
        self.beats = None
        self.ended = False

    def plain_body(self, request_id):
        return f"{self.service} {request_id}\n".encode()

    def signature(self, request_id):
        return f"{self.id}.{request_id}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.beat()
        self.beats = asyncio.create_task(self.beat_on())
        return self

    def spec(self):
        return {
            "address": f"127.0.0.1:{self.port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
        }

    def status(self):
        self.sequence += 1
        return {
            "state": self.state,
            "sequence": self.sequence,
            "warmupLeftS": 0,
        }

    async def beat(self):
        await self.store.put_beat(self.id, self.spec(), self.status())

    async def beat_on(self):
        while True:
            await asyncio.sleep(self.beat_s)
            await self.beat()

    async def leave(self, serve_s):
        """Reports draining, serves on for serve_s and ends; returns when the
        store has acknowledged the report."""
        self.state = "draining"
        await self.beat()
        acknowledged = time.monotonic()
        self.log("draining_acknowledged", self.id)

        async def end_later():
            await asyncio.sleep(serve_s)
            await self.end()

        asyncio.create_task(end_later())
        return acknowledged

    async def end(self):
        if self.ended:
            return
        self.ended = True
        self.cut = set(self.active)
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await self.store.delete("servers", self.id)
        self.log("server_ended", self.id, f"working on {len(self.cut)}")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await asyncio.wait_for(
                    wire.read_request(reader), IDLE_CLOSE_S
                )
                if request is None or not await self.handle(request, writer):
                    break
        except (
            ConnectionError,
            asyncio.TimeoutError,
            asyncio.IncompleteReadError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        fields = request["fields"]
        request_id = fields.get("request-id", "")
        if request["target"] == "/healthz":
            status = 200 if self.state == "ready" else 503
            writer.write(wire.response(status, b"", {"Backend-Id": self.id}))
            return True
        self.arrivals.append((time.monotonic(), request_id))
        echo = {"Request-Id": request_id} if request_id else {}
        if fields.get("expected-instance", self.id) != self.id:
            self.log("misdirected", self.id, request_id)
            echo["Backend-Id"] = self.id
            writer.write(wire.response(421, b"", echo))
            return True
        if not request_id:
            writer.write(wire.response(400, b"", {"Not-Executed": "1"}))
            return True
        if self.waiting >= QUEUE:
            echo["Not-Executed"] = "1"
            writer.write(wire.response(503, b"", echo))
            return True
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            return await self.run(request, request_id, echo, writer)

    async def run(self, request, request_id, echo, writer):
        self.runs.append(
            (time.monotonic(), request_id, request["method"], request["target"])
        )
        self.log("run", self.service, self.id, request_id)
        self.active.add(request_id)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.active.discard(request_id)
        echo["Response-Signature"] = self.signature(request_id)
        answer = wire.response(200, self.make_body(request_id), echo)
        if self.spoil(request_id):
            self.spoiled.append(request_id)
            self.log("answer_broken_off", self.id, request_id)
            writer.write(answer[: len(answer) * 3 // 4])
            await writer.drain()
            return False
        writer.write(answer)
        await writer.drain()
        return True
