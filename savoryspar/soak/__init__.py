"""Soak test: runs real entry VMs under injected faults and checks the answers.

Entry VMs run as processes. The store, the backend servers, the proxies in front
of them and the callers run in the process of the soak. The checker uses only
the answers that callers received and the runs that backend servers recorded.
"""

from savoryspar.soak.runs import Options, Report, run_soak
