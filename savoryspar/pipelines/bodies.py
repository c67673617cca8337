"""Builds the JSON bodies of stage calls and estimates their cost."""

import json
from typing import Any

from savoryspar import sheet
from savoryspar.pipelines import model

DEFAULT_MAX_TOKENS = 64
CHARACTERS_PER_TOKEN = 4.0
HIGHEST_PRIORITY = 0
PRIORITIES = {rank: number for number, rank in enumerate(sheet.RANKS)}


def run_body(req: model.Request, stage: sheet.Stage) -> dict[str, Any]:
    """Returns the body for a pool that is not an engine pool."""
    return {
        "pipeline": req.pipeline.name,
        "stage": stage.name,
        "input": req.body,
        "previous": req.outputs,
    }


def stage_cost(req: model.Request, pool: sheet.Pool) -> float:
    """Estimates the work units of a stage of the request.

    For an engine pool, this is the estimated number of prompt tokens plus the
    maximum number of output tokens that the caller requested.
    """
    if pool.kind != "engine":
        return pool.cost
    return estimated_prompt_tokens(req) + float(
        req.body.get("max_tokens", DEFAULT_MAX_TOKENS)
    )


def estimated_prompt_tokens(req: model.Request) -> float:
    """Estimates the number of tokens of the caller's messages by length."""
    messages = req.body.get("messages")
    if messages is None:
        length = sum(len(str(value)) for value in req.body.values())
    else:
        length = sum(len(message["content"]) for message in messages)
    return length / CHARACTERS_PER_TOKEN


def engine_messages(req: model.Request) -> list[dict[str, str]]:
    """Returns the caller's messages, preceded by outputs of earlier stages."""
    messages = req.body.get("messages")
    if messages is None:
        text = json.dumps(req.body, sort_keys=True)
        messages = [{"role": "user", "content": text}]
    if not req.outputs:
        return messages
    context = json.dumps(req.outputs, sort_keys=True)
    return [{"role": "system", "content": context}, *messages]


def prompt_text(messages: list[dict[str, str]]) -> str:
    """Returns the text from which an engine's prefix cache keys are derived."""
    return "\n".join(
        f"{message.get('role', '')}: {message['content']}"
        for message in messages
    )


def engine_body(
    req: model.Request, stage: sheet.Stage, resume_from: int, text: str
) -> dict[str, Any]:
    """Returns the body for an engine.

    Args:
        req: The request.
        stage: The stage to run.
        resume_from: Number of tokens already relayed, 0 for a new stream.
        text: Text of the tokens already relayed.
    """
    body: dict[str, Any] = {
        "model": stage.model,
        "messages": engine_messages(req),
        "max_tokens": req.body.get("max_tokens", DEFAULT_MAX_TOKENS),
        "stream": True,
        "priority": PRIORITIES[req.rank],
    }
    if resume_from:
        body["resume_from"] = resume_from
        body["resume_text"] = text
    return body
