"""Read-only clients of the platform's services."""

from savoryspar.platform.config import ConfigClient, new_config_client
from savoryspar.platform.exceptions import PlatformError
from savoryspar.platform.vms import Vm, VmListClient, new_vm_list_client
