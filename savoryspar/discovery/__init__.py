"""Read-only clients of the platform's services."""

from savoryspar.discovery.config import ConfigClient, new_config_client
from savoryspar.discovery.exceptions import PlatformError
from savoryspar.discovery.vms import Vm, VmListClient, new_vm_list_client
