"""Rules on the backend servers that a request may use.

Every path that sends a request, a piece of a stage or a trial to a server
applies the rules of this module, so that a rule cannot hold on one path and
not on another. Home regions are passed around as ``None`` for a request without
any, and as a set otherwise. The set is empty if the home regions of the route
and of the workspace have none in common; then no server is eligible.
"""

from collections.abc import Iterable, Mapping
import enum

from savoryspar.fleet import model


class Exclusion(enum.Enum):
    """Why a server is not eligible for a request.

    Members:
        OUTSIDE_HOME_REGIONS: It is in none of the request's home regions.
        ZONE_EVACUATED: Its availability zone is evacuated.
        LEAVING: It is draining or leaving, or its entry was removed.
    """

    OUTSIDE_HOME_REGIONS = "outside_home_regions"
    ZONE_EVACUATED = "zone_evacuated"
    LEAVING = "leaving"


def request_regions(
    route: model.Route, workspace: model.Workspace | None
) -> frozenset[str] | None:
    """Returns the regions in which a request may be served, None for all.

    The home regions of the route and of the workspace both apply.
    """
    own = workspace.home_regions if workspace else frozenset()
    if route.home_regions and own:
        return route.home_regions & own
    return route.home_regions or own or None


def region_of(zone: str, zone_regions: Mapping[str, str]) -> str:
    """Returns the region of an availability zone.

    A zone that the settings do not name is a region of its own.

    Args:
        zone: The zone.
        zone_regions: Regions by zone, from the settings.
    """
    return zone_regions.get(zone, zone)


def is_at_home(region: str, home_regions: frozenset[str] | None) -> bool:
    """Returns whether a request may be served in a region."""
    return home_regions is None or region in home_regions


def exclusion(
    zone: str,
    region: str,
    home_regions: frozenset[str] | None,
    evacuated_zones: Iterable[str] = frozenset(),
    is_leaving: bool = False,
) -> Exclusion | None:
    """Returns why a server is not eligible for a request, None if it is.

    Args:
        zone: Availability zone of the server.
        region: Region of the server.
        home_regions: Regions in which the request may be served, None for all.
        evacuated_zones: Zones to which nothing may be sent.
        is_leaving: Whether the server accepts no new requests.
    """
    if not is_at_home(region, home_regions):
        return Exclusion.OUTSIDE_HOME_REGIONS
    if zone in evacuated_zones:
        return Exclusion.ZONE_EVACUATED
    return Exclusion.LEAVING if is_leaving else None
