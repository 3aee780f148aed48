#!/usr/bin/env python3
"""Tests signals that reach a gateway before it has read its settings.

    programs/chivelockd/tests/early_signals.py PROGRAM

The settings file is a named pipe at first, so that the process waits for it for as long as a case needs. Exit code 1 if a
check fails.
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ADDRESS = "127.0.7.1"
START_S, STOP_S = 5.0, 6.0


class StartingGateway:
    """A process that waits for its settings."""

    def __init__(self, program, folder):
        port = 10000 + (os.getpid() * 43) % 20000
        self.readiness = f"http://{ADDRESS}:{port + 1}/v1/ready"
        self.path, self.log = folder / "settings.json", folder / "log.txt"
        self.settings = json.dumps({
            "vm": "vm-1", "zone": "z1", "cpu_share": 0.05, "seeds": [], "store": {"address": f"{ADDRESS}:{port + 4}"},
            "listen": {"callers": f"{ADDRESS}:{port}", "readiness": f"{ADDRESS}:{port + 1}",
                       "peers": f"{ADDRESS}:{port + 2}", "helper_port": port + 3},
            "limits": {"retry_ratio": 0.2, "retry_slack": 56, "retry_window_s": 10, "drain_ms": 3000, "grace_s": 6,
                       "apply_ms": 3000}})
        os.mkfifo(self.path)
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen([program, "--gateway", "--settings", str(self.path)], stdout=log, stderr=log)
        self.pipe = open(self.path, "w")  # returns once the process has opened the pipe

    def give_settings(self):
        """Lets the process read its settings, from the pipe now and from an ordinary file later."""
        ordinary = self.path.with_suffix(".new")
        ordinary.write_text(self.settings)
        ordinary.rename(self.path)
        try:
            self.pipe.write(self.settings)
            self.pipe.close()
        except BrokenPipeError:
            pass  # the process has ended, as the check of the case tells

    def answers(self):
        end = time.monotonic() + START_S
        while time.monotonic() < end and self.process.poll() is None:
            try:
                urllib.request.urlopen(self.readiness, timeout=1.0)
                return True
            except urllib.error.HTTPError:
                return True  # 503: it is not ready without a store
            except OSError:
                time.sleep(0.05)
        return False

    def exit_code(self, limit_s):
        try:
            return self.process.wait(limit_s)
        except subprocess.TimeoutExpired:
            return None


def settings_changed(gateway):
    """Guards against a process that SIGHUP ends while it starts."""
    gateway.process.send_signal(signal.SIGHUP)
    gateway.give_settings()
    if not gateway.answers():
        return f"SIGHUP ended the process with {gateway.process.poll()}"
    gateway.process.send_signal(signal.SIGTERM)
    code = gateway.exit_code(STOP_S)
    return None if code == 0 else f"the planned stop ended with {code}"


def stopped(gateway):
    """Guards against a process that does not end as planned if it is stopped while it starts."""
    gateway.process.send_signal(signal.SIGTERM)
    gateway.give_settings()
    code = gateway.exit_code(START_S)
    if code != 0:
        return f"ended with {code}"
    return "it started to listen" if "event=started" in gateway.log.read_text() else None


def main():
    failed = 0
    for case in (settings_changed, stopped):
        with tempfile.TemporaryDirectory() as folder:
            gateway = StartingGateway(sys.argv[1], pathlib.Path(folder))
            try:
                problem = case(gateway)
            finally:
                gateway.process.kill()
                gateway.process.wait()
        failed += problem is not None
        print(f"{case.__name__}: {'FAILED: ' + problem if problem else 'passed'}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
