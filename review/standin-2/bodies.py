"""No case: clients send bodies within MaxBodyBytes on connections that they keep.
See "Shown, but no case" in REPORT-2.md."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
sys.dont_write_bytecode = True
from fleet import HOST, SETTINGS, main, now, read_head

LARGE = 4000000           # MaxBodyBytes is 4,194,304
PERIOD_S = 10.0           # between two requests of one uploading client
UPLOADERS, CALLERS = 80, 40  # of each instance
PLAY_S = 50


def resident_mb(pid):
    with open("/proc/%d/status" % pid) as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1000.0
    return 0.0


class Client:
    """One client with a connection that it keeps."""

    def __init__(self, world, instance):
        self.world, self.instance, self.streams = world, instance, None

    async def send(self, out, method, target, headers, body):
        """One request; a new connection first if there is none."""
        if not self.streams:
            self.streams = await asyncio.open_connection(self.instance.ip, self.instance.front)
            self.requests = 0
        reader, writer = self.streams
        world = self.world
        world.next_id += 1
        rid = "%016x" % (0x9c41d07b00000000 + world.next_id)
        result = {"id": rid, "kept": self.requests > 0, "status": None, "whole": False,
                  "bytes": len(body)}
        out.append(result)
        self.requests += 1
        world.record.line("client sends", rid, method, target, len(body), "bytes to",
                          self.instance.name)
        try:
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\n"
                          "Content-Length: %d\r\n%s\r\n" % (method, target, HOST, rid, len(body),
                                                          headers)).encode())
            writer.write(body)
            await writer.drain()
            head = await asyncio.wait_for(read_head(reader), 6)
            if head:
                result["status"] = int(head[0].split(" ")[1])
                if "chunked" in head[1].get("transfer-encoding", ""):
                    size = 1
                    while size:
                        size = int(await reader.readline(), 16)
                        await reader.readexactly(size + 2)
                else:
                    await reader.readexactly(int(head[1].get("content-length", 0)))
                result["whole"] = True
        except asyncio.TimeoutError:
            result["left"] = True  # the client, not the instance, ends it
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        world.record.line("client of", rid, "has", result["status"],
                          "whole" if result["whole"] else "broken")
        if not result["whole"] or head[1].get("connection") == "close":
            writer.close()
            self.streams = None


async def play(world):
    random.seed(int(os.environ.get("SEED", str(os.getpid()))))
    await world.start(instances=2, engines=4, plain=4)
    for server in world.servers:
        server.slots = 32
    results, kills, peak = [], [], [0.0]
    begin = now()
    end = begin + PLAY_S
    body = b"x" * (LARGE if world.trouble else 600)

    async def loop(client, pause, make):
        await asyncio.sleep(random.uniform(0, pause))
        while now() < end:
            try:
                await client.send(results, *make())
            except OSError:
                client.streams = None
            await asyncio.sleep(pause * random.uniform(0.9, 1.1))

    async def platform():
        """A process that exceeds MemoryMb is killed, and restarted after a short delay."""
        while now() < end + 1:
            for instance in world.instances:
                used = resident_mb(instance.process.pid)
                peak[0] = max(peak[0], used)
                if used > SETTINGS["Limits"]["MemoryMb"]:
                    kills.append(now() - begin)
                    world.record.line(instance.name, "holds %.0f MB" % used)
                    await instance.kill()
                    await asyncio.sleep(0.3)
                    await instance.start()
            await asyncio.sleep(0.05)

    def usual():
        if random.random() < 0.6:
            return "POST", "/puxa403/2f", "", b"x" * 600
        return ("POST", "/lohu930/2f", "Model: daka51/a%d\r\nToken-Usage: 900,80\r\n"
                "Prompt-Prefix: 5c1e07a2:800,%08x:40\r\n" % (
                    random.randint(1, 3), random.randrange(2**32)), b"x" * 600)

    jobs = [platform()]
    for instance in world.instances:
        jobs += [loop(Client(world, instance), PERIOD_S,
                      lambda: ("POST", "/puxa403/2f", "", body)) for _ in range(UPLOADERS)]
        jobs += [loop(Client(world, instance), 0.15, usual) for _ in range(CALLERS)]
    await asyncio.gather(*jobs)
    lost = [r for r in results if r["kept"] and r["status"] is None and "left" not in r
            and r["id"] in world.runs]
    cut = [r for r in results if r["status"] and not r["whole"]]
    print("requests: %d, of these uploads: %d; most memory of a process: %.0f MB" % (
        len(results), sum(r["bytes"] > 600 for r in results), peak[0]))
    print("killed for memory over MemoryMb, after s:", ["%.0f" % k for k in kills])
    print("from kept connections, run by a server and without an answer: %d (3 allowed); "
          "answers cut off: %d" % (len(lost), len(cut)))
    return 1 if len(lost) > 3 else 0

main(os.path.dirname(os.path.abspath(__file__)), play)
