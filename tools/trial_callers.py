"""Callers of a site: random instances, popular adapters, sign-offs."""

import bisect
import collections
import http.client
import itertools
import json
import random
import threading
import time

HOST = "127.0.0.1"
SIGN_OFF_SHARE = 0.15
RESEND_LIMIT = 6


class Callers:
    """Threads that send until stopped, and what became of it all."""

    def __init__(self, site, threads, adapters, seed=1, pause_s=0.05):
        self.site, self.pause_s = site, pause_s
        weights = [1.0 / (i + 1) for i in range(adapters)]
        self.popularity = list(itertools.accumulate(weights))
        self.counts = collections.Counter()
        self.lock = threading.Lock()
        self.violations = []
        self.gone = set()      # killed or paused: their requests are lost
        self.avoided = set()   # the balancer sends nothing new to them
        self.sign_offs = {}    # id -> the answers that its caller got
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(seed * 1000 + i,))
            for i in range(threads)]

    def __enter__(self):
        for t in self.threads:
            t.start()
        return self

    def __exit__(self, *_):
        self.stopped.set()
        for t in self.threads:
            t.join()

    def count(self, what):
        with self.lock:
            self.counts[what] += 1

    def violate(self, what):
        with self.lock:
            self.violations.append(what)

    def run(self, seed):
        rng = random.Random(seed)
        serial = 0
        while not self.stopped.is_set():
            serial += 1
            if rng.random() < SIGN_OFF_SHARE:
                self.sign_off(rng, f"so-{seed}-{serial}")
            else:
                self.summary(rng)
            time.sleep(self.pause_s * rng.random())

    def choose(self, rng):
        """As the platform's balancer: any instance not known to be gone."""
        return rng.choice([i for i in self.site.instances
                           if i.name not in self.gone | self.avoided])

    def adapter(self, rng):
        return "a%d@1" % bisect.bisect(
            self.popularity, rng.random() * self.popularity[-1])

    def summary(self, rng):
        instance, adapter = self.choose(rng), self.adapter(rng)
        body = json.dumps({"model": adapter, "stream": True, "max_tokens": 10,
                           "prompt": f"shift {rng.random()}"})
        status, text = 0, b""
        try:
            c = http.client.HTTPConnection(HOST, instance.port, timeout=40)
            c.request("POST", "/v1/completions", body,
                      {"X-Lovagegate-Service": "summaries"})
            response = c.getresponse()
            status = response.status
            text = response.read()
            c.close()
        except (OSError, http.client.HTTPException):
            if instance.name in self.gone:
                self.count("lost_with_their_instance")
            else:
                self.count("connection_errors")
                self.violate(f"lost on {instance.name}: status {status}")
            return
        self.judge_summary(instance, adapter, status, text)

    def judge_summary(self, instance, adapter, status, text):
        if status != 200:
            error = json.loads(text)["error"]
            self.count(f"{error['type']}:{error['code']}")
            return
        events = [e[6:] for e in text.decode().split("\n")
                  if e.startswith("data: ")]
        if not events or events[-1].strip() != "[DONE]":
            if instance.name in self.gone:
                self.count("cut_off_with_their_instance")
            elif any('"error"' in e for e in events):
                self.count("stream_ended_by_typed_error")
            else:
                self.violate(f"cut off on {instance.name}")
            return
        models = {json.loads(e)["model"] for e in events[:-1]}
        if models != {adapter}:
            self.violate(f"wrong adapter: {models} for {adapter}")
        self.count("completed")

    def sign_off(self, rng, request):
        """Sends until an answer is had, the same id to any instance."""
        issued = str(int(time.time() * 1000))
        answers = []
        for _ in range(RESEND_LIMIT):
            answers.append(self.try_sign_off(rng, request, issued))
            if answers[-1] == "completed":
                break
            time.sleep(0.3)
        with self.lock:
            self.sign_offs[request] = answers
            self.counts["sign_off:" + answers[-1]] += 1

    def try_sign_off(self, rng, request, issued):
        instance = self.choose(rng)
        try:
            c = http.client.HTTPConnection(HOST, instance.port, timeout=40)
            c.request("POST", "/signoff", json.dumps({"id": request}),
                      {"X-Lovagegate-Service": "desk",
                       "X-Request-Id": request, "X-Request-Issued": issued})
            response = c.getresponse()
            text = response.read()
            c.close()
        except (OSError, http.client.HTTPException):
            if instance.name not in self.gone:
                self.violate(f"sign-off lost on {instance.name}")
            return "connection"
        if response.status == 200:
            return "completed"
        return json.loads(text)["error"]["type"]

    def check_runs(self, runs):
        """Compares answers with the runs that the service counted."""
        for request, answers in self.sign_offs.items():
            times = runs.get(request, 0)
            if times > 1:
                self.violate(f"doubled: {request} ran {times} times")
            if answers[-1] == "completed" and times != 1:
                self.violate(f"{request} completed but ran {times} times")
            if set(answers) == {"not_run"} and times != 0:
                self.violate(f"{request} was not run but ran")
