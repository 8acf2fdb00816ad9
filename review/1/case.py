"""Pipelined requests while endpoints spoil a byte of some answers."""

import asyncio
import collections
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import standins

# `garble` in the site file: for 5.5 s, 35 in 100 endpoints spoil 2 in 100 answers.
ENDPOINTS_SHARE = 0.35
ANSWERS_SHARE = 0.02
GARBLE_S = 5.5
LAYOUT = [
    ("gb-a", "catalog"),
    ("gb-b", "catalog"),
    ("gb-c", "catalog"),
    ("gb-a", "reserve"),
    ("gb-b", "reserve"),
]
CLIENTS = 5
PIPELINED = 4
# Half a second and some more after the route's `timeout_s` and the clients' deadline.
WAIT_S = 2.2


async def play(deployment, trouble):
    """Play the case; return whether the rule held."""
    await deployment.start()
    spoiled = set()
    rng = random.Random(27)
    catalog = [m.endpoint for m in deployment.machines if m.service == "catalog"]

    def mangle(request_id, phrase):
        if rng.random() >= ANSWERS_SHARE:
            return phrase
        spoiled.add(request_id)
        deployment.record(f"{request_id}: a byte of its answer's first line is spoiled")
        return bytes([phrase[0] ^ 0x80]) + phrase[1:]

    if trouble:
        for endpoint in catalog[: int(ENDPOINTS_SHARE * len(catalog))]:
            endpoint.mangle = mangle
    end = time.monotonic() + GARBLE_S
    counts = collections.Counter()
    await asyncio.gather(
        *(
            client(deployment, deployment.machines[number % len(LAYOUT)], end, counts)
            for number in range(CLIENTS)
        )
    )
    deployment.record(
        f"{counts['sent']} requests, {len(spoiled)} answers spoiled,"
        f" {counts['foreign']} foreign answers, {counts['none']} requests without an"
        " answer"
    )
    print(deployment._lines[-1])
    return not counts["foreign"]


async def client(deployment, machine, end, counts):
    """Send pipelined requests on one connection after the other."""
    while time.monotonic() < end:
        ids = [standins.new_id() for _ in range(PIPELINED)]
        answers = await pipeline(machine, ids)
        counts["sent"] += PIPELINED
        for request_id, answer in zip(ids, answers, strict=True):
            if answer is None:
                counts["none"] += 1
                deployment.record(
                    f"{request_id} has no answer {WAIT_S} s after it was sent"
                )
                continue
            status, headers, body = answer
            answered_id = headers.get("x-vanillapitch-attempt-id")
            if status < 300 and answered_id != request_id:
                counts["foreign"] += 1
                deployment.record(
                    f"the client of {request_id} gets {status} with the answer to"
                    f" {answered_id}: {body!r}"
                )


async def pipeline(machine, ids):
    """Send safe requests on one connection and read their answers in order."""
    reader, writer = await asyncio.open_connection(machine.ip, machine.outbound)
    for request_id in ids:
        writer.write(standins.encode_request("/catalog/lots", request_id=request_id))
    answers = []
    try:
        async with asyncio.timeout(WAIT_S):
            for _ in ids:
                answers.append(await standins.read_answer(reader))
    except TimeoutError:
        pass
    finally:
        writer.close()
    return answers + [None] * (len(ids) - len(answers))


standins.main(
    play,
    folder=pathlib.Path(__file__).parent,
    layout=LAYOUT,
    # TROUBLE=0 does the same without the disruption.
    trouble=os.environ.get("TROUBLE", "1") != "0",
)
