"""A manifest names another service for a queue whose accepted jobs wait for room at the old one."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import standin  # noqa: E402

WATCH_PATH = "/watch/00000000000000a1"
EARLY_PATH = "/queue/00000000000000b1"
LATE_PATH = "/queue/00000000000000b2"
# Takes the whole executor of the old service, and lasts.
WATCH = {"Spec": "watch the lockers", "Steps": [{"Count": 1, "Cpu": 7000, "MemMb": 512, "EstimateMs": 500, "LongRunning": True}]}
CONFIRM = {"Spec": "confirm the pickup", "Steps": [{"Count": 2, "Cpu": 2000, "MemMb": 512, "EstimateMs": 500}]}


async def case(record, folder):
    jobs = {}
    deployment = standin.Deployment(record, folder, 4)
    executors = [standin.Executor(record, jobs, f"i-{number}f3a91c2", deployment.app[number], deployment.side[number],
                                  deployment.ZONES[number % 3], "old-desk" if number == 0 else "desk",
                                  {"Cpu": 8000, "MemMb": 16000, "Gpu": 0}) for number in range(4)]
    client = standin.Client(record, jobs)
    services = ["old-desk", "desk"]
    # Without the disruption the queue has its service from the start.
    first = "old-desk" if standin.has_trouble() else "desk"
    try:
        deployment.start(deployment.controls + deployment.gateways + deployment.relays)
        await asyncio.sleep(1)
        for executor in executors:
            await executor.start()
        watch = standin.route("r-watch", "/watch/", "old-desk")
        await deployment.put_manifest(standin.manifest(7, [standin.route("r-1", "/queue/", first), watch], services))
        await asyncio.sleep(4)
        answers = [await client.submit(deployment.front[0], WATCH_PATH, WATCH)]
        await asyncio.sleep(1)
        answers.append(await client.submit(deployment.front[0], EARLY_PATH, CONFIRM))
        await asyncio.sleep(1)
        if standin.has_trouble():
            await deployment.put_manifest(standin.manifest(9, [standin.route("r-1", "/queue/", "desk"), watch], services))
        await asyncio.sleep(3)
        answers.append(await client.submit(deployment.front[1], LATE_PATH, CONFIRM))
        if any(answer is None or answer[0] != 200 for answer in answers):
            raise RuntimeError("a job was not accepted")
        # finish_s after the last request, and 3 s and more with nothing running on idle executors.
        await asyncio.sleep(standin.FINISH_MS / 1000 + 10)
        states = {}
        for path in (WATCH_PATH, EARLY_PATH, LATE_PATH):
            answer = await client.ask(deployment.front[1], "GET", path)
            states[path] = answer[2].get("State") if answer is not None and answer[0] == 200 else None
        record.write("in use:", [(executor.service, executor.cpu_in_use()) for executor in executors])
        if states[LATE_PATH] != "completed":
            raise RuntimeError("the later job did not complete")
        return states[EARLY_PATH] == "completed"
    finally:
        for executor in executors:
            executor.stop()
        deployment.end()


standin.play(FOLDER, case)
