"""Runs the stages of a request within one end-to-end deadline."""

from savoryspar.pipelines.exceptions import RunError, RunState
from savoryspar.pipelines.model import Request
from savoryspar.pipelines.orders import OrderRunner, new_order_runner
from savoryspar.pipelines.runner import Runner, new_runner
from savoryspar.pipelines.streaming import AnswerStream
