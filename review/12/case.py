"""A machine that took a job from its client freezes. The client gives the job up and cancels it elsewhere."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import standin  # noqa: E402

FREEZE_S = 3.4
JOB = "5c0e7a21d94b36f8"
PATH = "/queue/" + JOB
# Two tasks that last.
WATCH = {"Spec": "watch the lockers",
         "Steps": [{"Count": 2, "Cpu": 1000, "MemMb": 512, "EstimateMs": 500, "LongRunning": True}]}


async def case(record, folder):
    jobs = {}
    deployment = standin.Deployment(record, folder, 3)
    executors = [standin.Executor(record, jobs, f"i-{number}f3a91c2", deployment.app[number], deployment.side[number],
                                  deployment.ZONES[number], "desk", {"Cpu": 8000, "MemMb": 16000, "Gpu": 0})
                 for number in range(3)]
    client = standin.Client(record, jobs)
    try:
        deployment.start(deployment.controls + deployment.gateways + deployment.relays)
        await asyncio.sleep(1)
        for executor in executors:
            await executor.start()
        await deployment.put_manifest(standin.manifest(7, [standin.route("r-1", "/queue/", "desk")], ["desk"]))
        await asyncio.sleep(4)
        thaw = None
        if standin.has_trouble():
            deployment.signal("gateway-1", signal.SIGSTOP)
            thaw = asyncio.get_running_loop().call_later(FREEZE_S, deployment.signal, "gateway-1", signal.SIGCONT)
        accepted = await client.submit(deployment.front[0], PATH, WATCH)
        cancelled = await client.ask(deployment.front[1], "DELETE", PATH)
        cancelled_ms = record.now_ms()
        if cancelled is None or cancelled[0] not in (200, 410):
            raise RuntimeError("the cancelling was not acknowledged")
        if standin.has_trouble() == (accepted is not None) or (thaw is not None and thaw.when() < asyncio.get_running_loop().time()):
            raise RuntimeError("the times did not fit")
        record.write("the cancelling is acknowledged; no task may start later than cancel_ms, and none may run StopMs after")
        # The machine is back, and nothing is disturbed, for 20 s.
        await asyncio.sleep(20)
        await client.ask(deployment.front[1], "GET", PATH)
        late = [task for executor in executors for task in executor.runs]
        starts = [(at_ms, task) for executor in executors for at_ms, task in executor.started]
        record.write("starts", starts, "; at work", record.now_ms() - cancelled_ms, "ms after the acknowledgement:", late)
        return not late
    finally:
        for executor in executors:
            executor.stop()
        deployment.end()


standin.play(FOLDER, case)
