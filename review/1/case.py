"""Pipelined requests while endpoints spoil a byte of some answers."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import standins

# `garble` in the site file: 35 in 100 endpoints spoil 2 in 100 of their answers.
ENDPOINTS_SHARE = 0.35
ANSWERS_SHARE = 0.02
LAYOUT = [
    ("gb-a", "catalog"), ("gb-b", "catalog"), ("gb-c", "catalog"),
    ("gb-a", "reserve"), ("gb-b", "reserve"),
]  # fmt: skip
CONNECTIONS = 300
PIPELINED = 4


async def play(deployment, trouble):
    """Play the case; return whether the rule held."""
    await deployment.start()
    spoiled = set()
    rng = random.Random(27)
    catalog = [m for m in deployment.machines if m.service == "catalog"]

    def mangle(request_id, phrase):
        if rng.random() >= ANSWERS_SHARE:
            return phrase
        spoiled.add(request_id)
        deployment.record(f"{request_id}: a byte of its answer's first line is spoiled")
        return bytes([phrase[0] ^ 0x80]) + phrase[1:]

    if trouble:
        # One of three endpoints.
        catalog[0].endpoint.mangle = mangle
    foreign = unanswered = 0
    for number in range(CONNECTIONS):
        machine = deployment.machines[number % len(deployment.machines)]
        ids = [standins.new_id() for _ in range(PIPELINED)]
        answers = await pipeline(machine, ids)
        for request_id, answer in zip(ids, answers, strict=True):
            if answer is None:
                unanswered += 1
                deployment.record(f"{request_id} has no answer 2 s after its deadline")
                continue
            status, headers, body = answer
            answered_id = headers.get("x-vanillapitch-attempt-id")
            if status < 300 and answered_id != request_id:
                foreign += 1
                deployment.record(
                    f"the client of {request_id} gets {status} with the answer to"
                    f" {answered_id}: {body!r}"
                )
    deployment.record(
        f"{CONNECTIONS * PIPELINED} requests, {len(spoiled)} answers spoiled,"
        f" {foreign} foreign answers, {unanswered} requests without an answer"
    )
    print(deployment._lines[-1])
    return foreign == 0


async def pipeline(machine, ids):
    """Send safe requests on one connection and read their answers in order."""
    reader, writer = await asyncio.open_connection(machine.ip, machine.outbound)
    for request_id in ids:
        writer.write(standins.encode_request("/catalog/lots", request_id=request_id))
    answers = []
    try:
        async with asyncio.timeout(3.5):
            for _ in ids:
                answers.append(await standins.read_answer(reader))
    except TimeoutError:
        pass
    finally:
        writer.close()
    return answers + [None] * (len(ids) - len(answers))


standins.main(play, folder=pathlib.Path(__file__).parent, layout=LAYOUT)
