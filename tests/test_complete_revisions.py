"""Up to which revision of the store a relay has all objects, however it heard of them."""

from __future__ import annotations

import pytest

from wasabimux.ids import FailureDomainId, StoreRevision
from wasabimux.platform.documents import PlatformDocumentDecoder
from wasabimux.platform.objects import date_removals
from wasabimux.relay.ports import ObjectChange, PlatformObject
from wasabimux.relay.view import FleetView
from wasabimux.timeline import Timeline

KIND = "evacuations"


def revision(number: int) -> StoreRevision:
    """Returns a revision of the store's first history."""
    return StoreRevision(1, number)


def change(name: str, number: int, deleted: bool = False) -> ObjectChange:
    """Returns the change of an evacuation."""
    return ObjectChange(PlatformObject(name, revision(number), {}), deleted)


@pytest.fixture
def view() -> FleetView:
    """An empty view."""
    return FleetView(PlatformDocumentDecoder(), Timeline("test"), lambda now: None)


def test_object_created_again_in_the_answer_that_removes_it_is_kept(
    view: FleetView,
) -> None:
    """Regression: a removal was dated after a later creation, which was then ignored."""
    view.apply_changes(KIND, [change("zone-a", 5)], revision(5), 0.0)
    changes = [change("zone-a", 5, deleted=True), change("zone-a", 8)]
    changes.append(change("zone-b", 9))
    view.apply_changes(KIND, date_removals(changes, revision(9)), revision(9), 1.0)
    assert view.evacuated_domains == {"zone-a", "zone-b"}


def test_removal_holds_against_an_older_state_of_the_object(view: FleetView) -> None:
    view.apply_changes(KIND, [change("zone-a", 5)], revision(5), 0.0)
    removals = date_removals([change("zone-a", 5, deleted=True)], revision(9))
    view.apply_changes(KIND, removals, revision(9), 1.0)
    view.apply_changes(KIND, [change("zone-a", 7)], revision(7), 2.0)
    assert FailureDomainId("zone-a") not in view.evacuated_domains
