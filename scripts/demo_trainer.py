"""A minimal trainer: opens a step, pulls its batches and prints the labels of the samples."""

import json
import sys
import time
import urllib.request


def post(address, path, body, headers=None):
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=json.dumps(body).encode(),
        headers={"Content-Type": "application/json", **(headers or {})},
    )
    with urllib.request.urlopen(request, timeout=30) as answer:
        return json.loads(answer.read()), dict(answer.headers)


def run_step(open_at, pull_at):
    prompts = [
        "Move the rig in hall Clyde from slot 4 to slot 6.",
        "Two clients want Tuesday morning. Which one waits?",
        "The balance needs two hours of calibration before slot 3.",
        "Plan the week around a lost compressor in hall Tay.",
    ]
    started = time.monotonic()
    spec = {"step": "demo-1", "trainer": "scheduling", "prompts": prompts, "samples_per_prompt": 4, "max_tokens": 128}
    opened, _ = post(open_at, "/v1/pools/rigcoach/steps", spec)
    print("opened:", opened)
    cursor = 1
    count = 0
    while True:
        ask = {"cursor": cursor, "trainer_version": 1, "max_samples": 8, "wait_ms": 2000}
        batch, _ = post(pull_at, "/v1/pools/rigcoach/steps/demo-1/pull", ask)
        if batch["done"]:
            break
        if not batch["samples"]:
            continue
        cursor += 1
        for sample in batch["samples"]:
            ranges = ", ".join(
                f"tokens {r['first_token']}-{r['first_token'] + r['token_count'] - 1} by version {r['version']}"
                for r in sample["generated"]["ranges"]
            )
            print(f"  slot {sample['slot']:2} of prompt {sample['prompt']}: {ranges}")
            count += 1
    print(f"step complete: {count} samples in {time.monotonic() - started:.2f} s")


def hold(address):
    body, headers = post(address, "/v1/services/slotdesk/holds", {"slot": 9}, {"Idempotency-Key": "demo-hold"})
    print(address, body["ran"], "recorded" if "Hickory-Recorded" in headers else "ran now")


if sys.argv[1] == "--hold":
    hold(sys.argv[2])
else:
    run_step(sys.argv[1], sys.argv[2])
