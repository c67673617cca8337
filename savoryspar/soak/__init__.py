"""Fault soak: the real programs, faults from outside, a judge of the outside.

Entry VMs run as processes. The store, the backend servers, the proxies before
them and the callers run in the process of the soak. The judge knows only what
callers got and what backend servers ran.
"""

from savoryspar.soak.runs import Report, run_soak
