"""An entry VM on the users' platform."""

from savoryspar.gateway.counters import descriptions
from savoryspar.gateway.node import Node, new_node
