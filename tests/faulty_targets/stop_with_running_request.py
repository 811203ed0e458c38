#!/usr/bin/env python3
"""Stops an entry host while a target runs a request for longer than the host may take to stop, and
checks that the process ends in time and with status 0.

The target, the store and the caller are stand-ins in this process. The program ends only processes
that it started.
"""
import asyncio
import signal
import subprocess
import sys
import tempfile
import time

from endless_responses import EndlessTest

# The target sends for 10 s, longer than the platform waits between SIGTERM and SIGKILL.
TIMEOUT_S = 20
GRACE_S = 6


async def run(test):
    await test.start()
    await asyncio.sleep(1.2)
    request = asyncio.create_task(test.call("/endless/1", TIMEOUT_S * 1000, True))
    await asyncio.sleep(0.5)
    process = test.host.process
    process.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    try:
        await asyncio.to_thread(process.wait, GRACE_S)
    except subprocess.TimeoutExpired:
        return "the process still runs"
    print(f"ended after {time.monotonic() - stopped_at:.2f} s with status {process.returncode}")
    await request  # The end of the process has closed its connection.
    await asyncio.sleep(0.1)  # The stand-ins notice the end of their connections.
    return None if process.returncode == 0 else f"the status is {process.returncode}, not 0"


def main():
    with tempfile.TemporaryDirectory() as directory:
        test = EndlessTest("length", True, True, directory, TIMEOUT_S)
        try:
            violation = asyncio.run(run(test))
        finally:
            test.stop()
    if violation:
        print(f"BROKEN {violation}")
        sys.exit(1)


if __name__ == "__main__":
    main()
