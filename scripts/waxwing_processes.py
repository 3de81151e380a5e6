"""Processes of a local installation: started, signalled and ended by their process id."""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import time

HOST = "127.0.0.1"
# Below the range from which the kernel takes ports of outgoing connections, so that a restarted process finds its port free.
PORT_RANGE = (12000, 32000)
_used_ports = set()


def free_port():
    """Picks a port that nobody listens on."""
    while True:
        port = random.SystemRandom().randint(*PORT_RANGE)
        if port in _used_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _used_ports.add(port)
        return port


def free_address():
    return f"{HOST}:{free_port()}"


def request(address, method, path, body=None, token=None, timeout=5.0):
    """Sends one HTTP request; returns (status, parsed body or text), or (0, message) without a response."""
    headers = {"Content-Type": "application/json"}
    if token:
        headers["Authorization"] = "Bearer " + token
    try:
        connection = http.client.HTTPConnection(address, timeout=timeout)
        connection.request(method, path, json.dumps(body) if body is not None else None, headers)
        response = connection.getresponse()
        text = response.read().decode()
        location = response.getheader("Location")
        connection.close()
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error)
    if response.status == 307 and location:
        target = location.split("//", 1)[1]
        return request(target.split("/", 1)[0], method, "/" + target.split("/", 1)[1], body, token, timeout)
    try:
        return response.status, json.loads(text)
    except ValueError:
        return response.status, text


def wait_for(description, condition, timeout=20.0):
    """Waits until condition() is true and returns its value; fails with the description after the timeout."""
    deadline = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out waiting until {description}")
        time.sleep(0.02)


class Process:
    """One process; restart() starts it again with the same arguments."""

    def __init__(self, name, arguments, log_folder):
        self.name = name
        self.arguments = arguments
        self.log_path = os.path.join(log_folder, name + ".out")
        self.process = None
        self.suspended = False

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(self.arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.suspended = False

    @property
    def pid(self):
        return self.process.pid

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            os.kill(self.process.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()
        self.suspended = False

    def terminate(self):
        """Asks for a planned stop without waiting for it."""
        self.signal(signal.SIGTERM)

    def stop(self, timeout=60.0):
        """Planned stop; returns the exit code."""
        self.terminate()
        return self.process.wait(timeout)

    def suspend(self):
        self.signal(signal.SIGSTOP)
        self.suspended = True

    def resume(self):
        self.signal(signal.SIGCONT)
        self.suspended = False

    def restart(self):
        if self.is_running():
            self.kill()
        self.start()

    def cpu_seconds(self):
        with open(f"/proc/{self.pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def handles(self, number):
        """Tells whether the process has a handler for a signal."""
        return self._has_signal("SigCgt:", number)

    def survives(self, number):
        """Tells whether the process handles or ignores a signal."""
        return self._has_signal("SigCgt:", number) or self._has_signal("SigIgn:", number)

    def _has_signal(self, field, number):
        with open(f"/proc/{self.pid}/status", encoding="ascii") as file:
            mask = next(line for line in file if line.startswith(field))
        return bool(int(mask.split()[1], 16) >> (number - 1) & 1)

    def memory_mb(self):
        return self._status_mb("VmRSS:")

    def peak_memory_mb(self):
        return self._status_mb("VmHWM:")

    def _status_mb(self, field):
        with open(f"/proc/{self.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith(field):
                    return int(line.split()[1]) / 1024
        return 0.0
