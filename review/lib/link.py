"""A link between requesters and a host that can hold back what is sent."""

import asyncio


class Link:
    """Forwards connections to a host; `cut` holds back all bytes to it."""

    def __init__(self, host):
        self.host = host
        self.open = asyncio.Event()
        self.open.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.ip, self.front = self.server.sockets[0].getsockname()[:2]
        self.name = self.host.name
        return self

    async def cut(self, seconds):
        self.open.clear()
        await asyncio.sleep(seconds)
        self.open.set()

    async def serve(self, reader, writer):
        try:
            to_reader, to_writer = await asyncio.open_connection(
                self.host.ip, self.host.front
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self.forward(reader, to_writer, self.open),
            self.forward(to_reader, writer, None),
        )

    async def forward(self, reader, writer, gate):
        try:
            while data := await reader.read(65536):
                if gate:
                    await gate.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()
