"""An entry VM on the users' platform."""

from savoryspar.gateway.node import Node, new_node
