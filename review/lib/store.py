"""A stand-in for the platform's store, after PROTOCOL.md.

Each machine has a listener of its own, so that the store can turn away single
machines. Responses are linearizable; stale reads are answered with newest data.
"""

import asyncio
import json
import urllib.parse

import wire

PREFIX = "/filbertbeam/objects/"
PAGE_ITEMS = 500
MAX_WAIT_MS = 30000


class Connection:
    """Set to mute once a response on it was lost."""

    def __init__(self, machine):
        self.machine = machine
        self.is_mute = False


class Store:
    def __init__(self, log, page_items=PAGE_ITEMS):
        self.log = log
        self.page_items = page_items
        self.revision = 100
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.silent = set()  # machines that get no responses
        self.waiting = set()  # (machine, number) of the watches that wait
        self.watches = 0
        self.delay_s = 0.004
        self.servers = []
        self.machines = []
        self.calls = {}

    async def listen(self, machine):
        async def serve(reader, writer):
            await self.serve(machine, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        self.machines.append(machine)
        return server.sockets[0].getsockname()[1]

    # --- writes of the operator and of the servers ---------------------------

    async def put(self, kind, name, spec, status=None):
        """Writes an object as a whole; the return is the acknowledgement."""
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if old and old["spec"] == spec and old["status"] == status:
            return old
        self.revision += 1
        objects[name] = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "createdRev": (
                    old["metadata"]["createdRev"] if old else self.revision
                ),
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        await self.note(kind, objects[name], False)
        return objects[name]

    async def put_beat(self, name, spec, status):
        """A server's beat: without event when only its sequence changed."""
        old = self.kinds.get("servers", {}).get(name)
        if old and old["spec"] == spec:
            before = dict(old["status"], sequence=0)
            if before == dict(status, sequence=0):
                old["status"] = status
                return
        await self.put("servers", name, spec, status)

    async def delete(self, kind, name):
        old = self.kinds.get(kind, {}).pop(name, None)
        if old:
            self.revision += 1
            gone = json.loads(json.dumps(old))
            gone["metadata"]["revision"] = self.revision
            await self.note(kind, gone, True)
        return old

    async def note(self, kind, item, deleted):
        self.history.append((self.revision, kind, item, deleted))
        async with self.changed:
            self.changed.notify_all()

    # --- the wire --------------------------------------------------------------

    async def serve(self, machine, reader, writer):
        connection = Connection(machine)
        try:
            while True:
                head = await wire.read_request(reader)
                if head is None:
                    break
                status, body = await self.answer(machine, head, reader)
                if status is None:
                    break
                await asyncio.sleep(self.delay_s)
                if machine in self.silent:
                    connection.is_mute = True
                if connection.is_mute:
                    # A connection on which a response is lost returns nothing
                    # further.
                    self.log("store_response_lost", machine, head["target"])
                    continue
                writer.write(wire.response(status, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, machine, head, reader):
        self.calls[machine] = self.calls.get(machine, 0) + 1
        url = urllib.parse.urlsplit(head["target"])
        query = dict(urllib.parse.parse_qsl(url.query))
        if not url.path.startswith(PREFIX):
            return 404, {}
        kind, _, name = url.path[len(PREFIX) :].partition("/")
        name = urllib.parse.unquote(name)
        if head["method"] == "GET" and "watch" in query:
            self.watches += 1
            waiting = (machine, self.watches)
            self.waiting.add(waiting)
            try:
                return await self.watch(kind, query, reader)
            finally:
                self.waiting.discard(waiting)
        if head["method"] == "GET" and not name:
            return 200, self.list(kind, query)
        objects = self.kinds.get(kind, {})
        if head["method"] == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        body = json.loads(head["body"] or b"{}")
        if head["method"] == "POST":
            name = body["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, await self.put(kind, name, body.get("spec"))
        if name not in objects:
            return 404, {}
        expected = body.get("metadata", {}).get("revision")
        if expected and expected != objects[name]["metadata"]["revision"]:
            return 409, objects[name]
        if head["method"] == "DELETE":
            return 200, await self.delete(kind, name)
        if head["method"] == "PUT":
            return 200, await self.put(kind, name, body.get("spec"))
        return 405, {}

    def list(self, kind, query):
        after = query.get("after", "")
        names = sorted(n for n in self.kinds.get(kind, {}) if n > after)
        page = names[: self.page_items]
        return {
            "items": [self.kinds[kind][n] for n in page],
            "hasMore": len(names) > len(page),
            "asOf": self.revision,
        }

    def events_after(self, kind, revision):
        return [
            {"object": item, "deleted": deleted}
            for at, each, item, deleted in self.history
            if each == kind and at > revision
        ]

    async def watch(self, kind, query, reader):
        revision = int(query["watch"])
        wait_s = min(int(query.get("waitMs", "0")), MAX_WAIT_MS) / 1000
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            events = self.events_after(kind, revision)
            left = until - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            if reader.at_eof():
                return None, None
            async with self.changed:
                try:
                    await asyncio.wait_for(
                        self.changed.wait(), min(left, 0.25)
                    )
                except asyncio.TimeoutError:
                    pass
