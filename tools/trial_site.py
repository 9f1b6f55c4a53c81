"""Starts and ends a site of instances and stand-ins on loopback."""

import base64
import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import time

DOMAINS = ("rijeka-a", "split-b", "zadar-c")
HOST = "127.0.0.1"
PAGE = os.sysconf("SC_PAGE_SIZE")
TICKS = os.sysconf("SC_CLK_TCK")


def free_ports(count):
    """Ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind((HOST, 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def call(port, method, path, body=None, headers=None, timeout=5.0):
    """One HTTP request; returns status, headers and the whole body."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    finally:
        connection.close()


def get_json(port, path):
    return json.loads(call(port, "GET", path)[2])


class Instance:
    """One lovagegate process."""

    def __init__(self, name, domain, port, peer_port):
        self.name, self.domain = name, domain
        self.port, self.peer_port = port, peer_port
        self.process = None
        self.settings = None

    def ticket(self):
        """Highest ticket in force; 0 if it cannot be asked."""
        try:
            return get_json(self.port, "/admin/status")["tickets"]["highest"]
        except (OSError, ValueError, KeyError, http.client.HTTPException):
            return 0

    def ready(self):
        try:
            return call(self.port, "GET", "/readyz", timeout=2)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def usage(self):
        """Processor seconds and resident bytes so far."""
        with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as f:
            fields = f.read().rsplit(")", 1)[1].split()
        cpu = (int(fields[11]) + int(fields[12])) / TICKS
        return cpu, int(fields[21]) * PAGE

    def counter(self, name):
        page = call(self.port, "GET", "/metrics")[2].decode()
        return sum(float(line.rsplit(" ", 1)[1]) for line in page.splitlines()
                   if line.startswith("lovagegate_" + name))


class Site:
    """Instances, engines, a plain service, two platforms and a store.

    The first instance reads the first platform, the others the second, so
    that the platform can be down or stale for all but one."""

    def __init__(self, build, instances, engines, limit_s=600):
        self.build, self.limit_s = build, limit_s
        self.folder = tempfile.TemporaryDirectory(dir=build, prefix="trial.")
        self.processes = []
        self.key = os.path.join(self.folder.name, "peer.key")
        with open(self.key, "wb") as f:
            f.write(base64.b64encode(os.urandom(36)))
        os.chmod(self.key, 0o600)
        self.store = self.standin("store", "store")
        self.platforms = [self.standin(f"platform-{i}", "platform")
                          for i in (1, 2)]
        self.desk = self.standin("desk", "service")
        self.engines = [self.standin(
            f"engine-{i}", "engine", f"--store={HOST}:{self.store}",
            "--token-interval=20ms", *(["--check-fencing"] if i % 2 else []))
            for i in range(engines)]
        ports = free_ports(2 * instances)
        self.instances = [
            Instance(f"entry-{i}", DOMAINS[i % 3], ports[2 * i],
                     ports[2 * i + 1]) for i in range(instances)]
        self.leaving = set()
        self.number = 0

    def spawn(self, name, arguments):
        log = open(os.path.join(self.folder.name, name + ".log"), "wb")
        process = subprocess.Popen(arguments, stdout=log, stderr=log)
        log.close()
        self.processes.append(process)
        return process

    def standin(self, name, kind, *arguments):
        """Starts a stand-in and returns its port."""
        self.spawn(name, [f"{self.build}/lovagegate-standin", kind,
                          f"--for={self.limit_s}s", *arguments])
        path = os.path.join(self.folder.name, name + ".log")
        for _ in range(100):
            with open(path, encoding="utf-8") as f:
                text = f.read().strip()
            if text and text.split(":")[-1].isdigit():
                return int(text.split(":")[-1])
            time.sleep(0.05)
        raise RuntimeError(f"stand-in {name} did not start: {text}")

    def start(self, instance):
        platform = self.platforms[0 if instance is self.instances[0] else 1]
        instance.settings = os.path.join(self.folder.name,
                                         instance.name + ".ini")
        with open(instance.settings, "w", encoding="utf-8") as f:
            f.write(f"""[instance]
name = {instance.name}
failure-domain = {instance.domain}
listen = {HOST}:{instance.port}
peer-listen = {HOST}:{instance.peer_port}
[platform]
config-address = {HOST}:{platform}
list-address = {HOST}:{platform}
list-lag = 1s
list-fresh = 4s
[peers]
key-file = {self.key}
[limits]
connections = 2048
""")
        instance.process = self.spawn(
            instance.name, [f"{self.build}/lovagegate", "serve",
                            f"--settings={instance.settings}"])

    def publish_list(self):
        entries = [{"ID": i.name, "Address": HOST, "Port": i.port,
                    "Meta": {"peer_port": str(i.peer_port),
                             "failure_domain": i.domain, "phase": "live"}}
                   for i in self.instances if i not in self.leaving]
        for port in self.platforms:
            call(port, "PUT", "/v1/agent/instances", json.dumps(entries))

    def publish(self, ticket, platforms=None):
        """Publishes the next ticket; returns its number."""
        self.number += 1
        body = json.dumps({"ticket": self.number, **ticket})
        for port in platforms or self.platforms:
            call(port, "PUT", f"/v1/kv/tickets/{self.number}", body)
        return self.number

    def set_mode(self, mode, platform=1):
        call(self.platforms[platform], "POST", "/admin/mode",
             json.dumps({"mode": mode}))

    def target(self, index, state="serving"):
        return {"group": "gpu", "address": HOST, "port": self.engines[index],
                "failure_domain": DOMAINS[index % 3], "model": "base",
                "slots": 4, "checks_fencing": index % 2 == 1, "state": state}

    def first_ticket(self, adapters):
        return {
            "stores": {"store": {"loads_per_second": 4, "at_full_speed": 2,
                                 "in_transit": 16}},
            "services": {
                "summaries": {"group": "gpu", "priority": "interactive"},
                "desk": {"group": "desk", "priority": "normal", "routes": [
                    {"method": "GET", "path": "/roster/*",
                     "idempotent": True},
                    {"method": "POST", "path": "/signoff",
                     "idempotent": False}]}},
            "adapters": {f"a{i}": {"model": "base", "versions": ["1"],
                                   "services": ["summaries"]}
                         for i in range(adapters)},
            "targets": {
                **{f"engine-{i}": self.target(i)
                   for i in range(len(self.engines))},
                "desk-1": {"group": "desk", "kind": "plain", "address": HOST,
                           "port": self.desk, "failure_domain": DOMAINS[0]}}}

    def wait(self, condition, limit_s):
        """Seconds until the condition held, or None."""
        start = time.monotonic()
        while time.monotonic() - start < limit_s:
            if condition():
                return time.monotonic() - start
            time.sleep(0.02)
        return None

    def close(self):
        """Ends what was started, by number."""
        for p in self.processes:
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.terminate()
        end = time.monotonic() + 5
        for p in self.processes:
            try:
                p.wait(max(0.0, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                p.kill()
                p.wait()
        self.folder.cleanup()
