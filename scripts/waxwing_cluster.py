"""A local installation for demos and experiments: control processes, proxies and database stand-ins on 127.0.0.1.

Settings and key files go into a temporary folder. Leaving the `with` block ends every process that was started here.
"""

import atexit
import json
import os
import secrets
import shutil
import signal
import subprocess
import sys
import tempfile
import uuid

from waxwing_processes import Process, free_address, request, wait_for

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("WAXWING_BUILD", os.path.join(ROOT, "build", "test"))
PROGRAMS = {
    "waxwing-control": "programs/control",
    "waxwing-proxy": "programs/proxy",
    "waxwing-standin": "tools/standin",
    "waxwing-load": "tools/load",
}


def program(name):
    path = os.path.join(BUILD, PROGRAMS[name], name)
    if not os.path.exists(path):
        raise FileNotFoundError(f"{path} is missing; build it first: cmake --build {BUILD}")
    return path


class Database:
    """One stand-in with its addresses."""

    def __init__(self, name, group, domain):
        self.name = name
        self.group = group
        self.domain = domain
        self.address = free_address()
        self.admin = free_address()
        self.process = None
        self.history = None

    def faults(self, **fields):
        status, body = request(self.admin, "POST", "/admin/faults", fields)
        if status != 200:
            raise RuntimeError(f"{self.name}: faults {fields}: {status} {body}")
        return body

    def fired(self):
        status, body = request(self.admin, "GET", "/admin/faults")
        return body["fired"] if status == 200 else {}

    def status(self):
        status, body = request(self.admin, "GET", "/admin/faults")
        return body["status"] if status == 200 else None


class Cluster:
    """Options: numbers of processes, groups (service name = group name), options of the stand-ins, resources."""

    def __init__(self, control=3, proxies=3, groups=("orders",), databases=3, standin=None, policy=None, acknowledge="majority", limits=None,
                 control_domains=3, proxy_settings=""):
        self.folder = tempfile.mkdtemp(prefix="waxwing-")
        self.keep_folder = False
        self.groups = list(groups)
        self.policy = dict(policy or {})
        self.limits = dict(limits or {"slots": 3, "connections": 20})
        self.acknowledge = acknowledge
        self.token = secrets.token_hex(16)
        self.proxy_settings = proxy_settings
        self.control_addresses = [(free_address(), free_address()) for _ in range(control)]  # link, HTTP
        self.proxy_addresses = [(free_address(), free_address()) for _ in range(proxies)]  # callers, link
        self.control = []
        self.proxies = []
        self.databases = []
        self.loads = []
        self._write_keys()
        for index in range(control):
            self.control.append(self._control_process(index, control_domains))
        for index in range(proxies):
            self.proxies.append(self._proxy_process(index))
        for group in self.groups:
            members = [Database(f"{group}-{number + 1}", group, f"fd{number % 3 + 1}") for number in range(databases)]
            for database in members:
                database.process = self._standin_process(database, members[0], standin or {})
            self.databases += members

    def __enter__(self):
        atexit.register(self.stop_all)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
        return self

    def __exit__(self, kind, *_):
        if kind is not None:
            self.keep_folder = True
            print(f"failed; settings, histories and logs are kept in {self.folder}", file=sys.stderr)
        self.stop_all()

    def all_processes(self):
        return self.control + self.proxies + [database.process for database in self.databases] + self.loads

    def stop_all(self):
        for process in self.all_processes():
            if process.is_running():
                process.kill()
        if not self.keep_folder and os.path.isdir(self.folder):
            shutil.rmtree(self.folder, ignore_errors=True)

    def start(self):
        """Starts everything, applies the resources and waits until each service takes writes at each proxy."""
        for process in self.control:
            process.start()
        wait_for("control has a leader", self.leader)
        for process in self.proxies:
            process.start()
        for database in self.databases:
            database.process.start()
        self.apply_resources()
        self.wait_ready()

    def wait_ready(self, timeout=30.0):
        for address, _ in self.proxy_addresses:
            wait_for(f"proxy {address} is healthy", lambda a=address: request(a, "GET", "/healthz")[0] == 200, timeout)
            for group in self.groups:
                wait_for(f"proxy {address} serves writes of {group}", lambda a=address, g=group: self.write(a, g), timeout)

    def write(self, address, service, key="ready", value=None):
        """One write through a proxy; returns the answer if it is done."""
        body = {"service": service, "kind": "write", "statement": f"write {key} {value or uuid.uuid4()}", "deadline_ms": 1000}
        answer = request(address, "POST", "/v1/statements", body)[1]
        return answer if isinstance(answer, dict) and answer.get("outcome") == "done" else None

    # Resources and status

    def operator(self, method, path, body=None, timeout=5.0):
        """One request to the control service, tried at each address."""
        result = (0, "")
        for _, address in self.control_addresses:
            result = request(address, method, path, body, self.token, timeout)
            if result[0] not in (0, 503):
                break
        return result

    def leader(self):
        """Index of the control process that leads, as a one-element tuple, or None."""
        for index, (_, address) in enumerate(self.control_addresses):
            status, body = request(address, "GET", "/healthz", timeout=0.5)
            if status == 200 and body.get("leader"):
                return (index,)
        return None

    def version(self, kind, name):
        status, body = self.operator("GET", f"/v1/resources/{kind}/{name}")
        return body.get("version", 0) if status == 200 else 0

    def apply(self, kind, name, spec, change_id=None, version=None):
        """Creates or changes a resource; returns (status, body)."""
        expected = self.version(kind, name) if version is None else version
        body = {"version": expected, "change_id": change_id or str(uuid.uuid4()), "spec": spec}
        return self.operator("PUT", f"/v1/resources/{kind}/{name}", body)

    def apply_resources(self):
        resources = [("limits", "standard", self.limits), ("policy", "standard", self.policy), ("deployment", "local", {"services": self.groups})]
        for group in self.groups:
            resources.append(("group", group, {"databases_expected": len([d for d in self.databases if d.group == group])}))
            resources.append(("service", group, {"deployment": "local", "group": group, "acknowledge": self.acknowledge,
                                                 "limits": "standard", "policy": "standard"}))
        for kind, name, spec in resources:
            wait_for(f"{kind} {name} is applied", lambda k=kind, n=name, s=spec: self.apply(k, n, s)[0] in (200, 201))

    def primary(self, group):
        """The stand-in that is primary in the highest term."""
        best = None
        for database in self.databases:
            if database.group != group or not database.process.is_running() or database.process.suspended:
                continue
            status = database.status()
            if status and status["role"] == "primary" and (best is None or status["term"] > best[0]):
                best = (status["term"], database)
        return best[1] if best else None

    # Load

    def load(self, name, experiment, arguments, proxies=None):
        """Starts the load of an experiment against all proxies; its files are in the folder."""
        files = ["--history", self.path(name + ".callers"), "--json", self.path(name + ".json"), "--csv", self.path(name + ".csv")]
        targets = []
        for address, _ in proxies or self.proxy_addresses:
            targets += ["--proxy", address]
        for group in self.groups:
            targets += ["--service", group]
        process = Process(name, [program("waxwing-load"), "experiment", experiment] + targets + files + [str(argument) for argument in arguments], self.folder)
        self.loads.append(process)
        process.start()
        return process

    def finish_load(self, process, timeout=120.0):
        """Waits for a load process; returns its results."""
        if process.process.wait(timeout) != 0:
            raise RuntimeError(f"{process.name} failed; see {process.log_path}")
        with open(self.path(process.name + ".json"), encoding="utf-8") as file:
            return json.load(file)

    def records(self, process):
        """Records of the caller history of a load process."""
        with open(self.path(process.name + ".callers"), encoding="utf-8") as file:
            for line in file:
                yield json.loads(line)

    def check(self, acknowledge=None):
        """Runs the history checker; returns its summary, with the printed text under `text`."""
        callers = [self.path(name) for name in sorted(os.listdir(self.folder)) if name.endswith(".callers")]
        arguments = [program("waxwing-load"), "check", "--acknowledge", acknowledge or self.acknowledge]
        for path in callers:
            arguments += ["--callers", path]
        for database in self.databases:
            arguments += ["--database", database.history]
        result = subprocess.run(arguments, capture_output=True, text=True, check=False)
        if result.returncode not in (0, 1):
            raise RuntimeError(result.stderr)
        summary = json.loads(result.stdout.strip().splitlines()[-1])
        summary["text"] = result.stdout
        return summary

    def path(self, name):
        return os.path.join(self.folder, name)

    # Settings

    def _write(self, name, text, mode=0o600):
        path = self.path(name)
        with open(os.open(path, os.O_CREAT | os.O_WRONLY | os.O_TRUNC, mode), "w", encoding="ascii") as file:
            file.write(text)
        return path

    def _write_keys(self):
        self._write("token", self.token + "\n")
        self._write("session.key", f"1 {secrets.token_hex(32)}\n")
        link_key = subprocess.run([program("waxwing-load"), "make-link-key"], capture_output=True, text=True, check=True).stdout
        self._write("link.key", link_key)

    def _control_process(self, index, domains):
        link, http = self.control_addresses[index]
        name = f"control-{index + 1}"
        members = ", ".join(f'"control-{number + 1} {member} {api}"' for number, (member, api) in enumerate(self.control_addresses))
        os.makedirs(self.path(name))
        settings = self._write(name + ".toml", f"""[control]
name = "{name}"
link = "{link}"
http = "{http}"
failure_domain = "fd{index % domains + 1}"
data = "{self.path(name)}"
members = [{members}]
[operator]
token_file = "{self.path("token")}"
[link]
key_file = "{self.path("link.key")}"
[log]
file = "{self.path(name + ".log")}"
""")
        return Process(name, [program("waxwing-control"), "serve", "--settings", settings], self.folder)

    def _proxy_process(self, index):
        callers, link = self.proxy_addresses[index]
        name = f"proxy-{index + 1}"
        control = ", ".join(f'"{address}"' for address, _ in self.control_addresses)
        os.makedirs(self.path(name))
        settings = self._write(name + ".toml", f"""[proxy]
name = "{name}"
failure_domain = "fd{index % 3 + 1}"
listen = "{callers}"
link_listen = "{link}"
data_folder = "{self.path(name)}"
[control]
addresses = [{control}]
[keys]
link = "{self.path("link.key")}"
session = "{self.path("session.key")}"
[log]
file = "{self.path(name + ".log")}"
{self.proxy_settings}
""")
        return Process(name, [program("waxwing-proxy"), "--settings", settings], self.folder)

    def _standin_process(self, database, first, options):
        database.history = self.path(database.name + ".history")
        arguments = [program("waxwing-standin"), "--listen", database.address, "--admin", database.admin, "--database", database.name,
                     "--group", database.group, "--failure-domain", database.domain, "--history", database.history, "--term", "1"]
        arguments += ["--role", "primary"] if database is first else ["--primary", first.address]
        for address, _ in self.proxy_addresses:
            arguments += ["--proxy", address]
        settings = {"slots": self.limits["slots"], "connections": self.limits["connections"], "latency-ms": 0.5, "connect-cost-ms": 12}
        settings.update(options)
        for key, value in settings.items():
            arguments += ["--" + key, str(value)]
        return Process(database.name, arguments, self.folder)
