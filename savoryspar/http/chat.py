"""OpenAI response documents: model list and unstreamed chat completion."""

from typing import Any

from savoryspar import pipelines, sheet


def models_document(current: sheet.Sheet) -> dict[str, Any]:
    """Returns the list of pipelines as OpenAI models."""
    return {
        "object": "list",
        "data": [
            {
                "id": name,
                "object": "model",
                "created": 0,
                "owned_by": "savoryspar",
            }
            for name in sorted(current.pipelines)
        ],
    }


def completion_document(
    req: pipelines.Request, output: dict[str, Any], created: int
) -> dict[str, Any]:
    """Returns the chat completion document of a request.

    Args:
        req: The request.
        output: Output of the pipeline.
        created: Unix time in seconds.
    """
    text = output.get("text")
    tokens = int(output.get("tokens", 0))
    return {
        "id": req.request_id,
        "object": "chat.completion",
        "created": created,
        "model": req.pipeline.name,
        "choices": [
            {
                "index": 0,
                "message": {
                    "role": "assistant",
                    "content": text if text is not None else str(output),
                },
                "finish_reason": "stop",
            }
        ],
        "usage": {
            "prompt_tokens": 0,
            "completion_tokens": tokens,
            "total_tokens": tokens,
        },
    }
