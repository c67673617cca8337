"""The gateway that each entry VM runs for callers of the platform."""

from savoryspar.gateway.counters import descriptions
from savoryspar.gateway.node import Node, new_node
