"""Tests of the permits that an owner grants within a server's rate limit."""

import hypothesis
from hypothesis import strategies as st
import testtools

from savoryspar import ratelimits

WINDOW_S = 4.0


def worst_window(times):
    """Returns the most permits in a window of the rule."""
    return max(
        (
            sum(start <= at < start + WINDOW_S for at in times)
            for start in times
        ),
        default=0,
    )


class Owner:
    """An allocator with a clock, which notes the time of each permit."""

    def __init__(self, rate_per_s, now=0.0):
        self.rate_per_s = rate_per_s
        self.now = now
        self.granted_at = []
        self.allocator = ratelimits.new_allocator(now)

    def claim(self, rank=0, workspace="w", key="", patience_s=0.0):
        claim = ratelimits.Claim(rank, workspace, key, self.now + patience_s)

        def note():
            if claim.is_granted:
                self.granted_at.append(self.now)

        claim.notify = note
        self.allocator.submit(claim, self.rate_per_s, self.now)
        return claim

    def sleep(self, seconds, step_s=0.05):
        until = self.now + seconds
        while self.now < until:
            self.now += step_s
            self.allocator.advance(self.rate_per_s, self.now)


class AllocatorTest(testtools.TestCase):
    def test_most_urgent_rank_goes_first(self):
        """Guards against urgent work that waits behind a flood of other work.

        The least urgent claim is denied as soon as it cannot be granted.
        """
        owner = Owner(1.0)
        bulk = [owner.claim(rank=2, patience_s=2.0) for _ in range(2)]
        urgent = owner.claim(rank=0, patience_s=2.0)
        self.assertFalse(bulk[1].is_granted)
        self.assertIsNotNone(bulk[1].is_granted)
        owner.sleep(1.0)
        self.assertTrue(urgent.is_granted)
        self.assertIsNone(bulk[0].is_granted)
        owner.sleep(1.05)
        self.assertTrue(bulk[0].is_granted)

    def test_flooding_workspace_does_not_starve_a_small_one(self):
        """Guards against a workspace that takes all permits of a server."""
        owner = Owner(2.0)
        served = {"large": 0, "small": 0}
        claims = []
        for number in range(200):
            claims.append(owner.claim(workspace="large", patience_s=1.0))
            if number % 10 == 0:
                claims.append(owner.claim(workspace="small", patience_s=1.0))
            owner.sleep(0.1)
        for claim in claims:
            served[claim.workspace] += bool(claim.is_granted)
        self.assertGreaterEqual(served["small"], 18)
        self.assertGreaterEqual(served["large"], 18)

    def test_hopeless_claim_is_denied_at_once(self):
        """Guards against requests held until their deadline passes."""
        owner = Owner(0.5)
        claim = owner.claim(patience_s=1.0)
        self.assertIs(False, claim.is_granted)
        self.assertAlmostEqual(2.0, claim.retry_after_s, 3)

    def test_denied_callers_are_served_when_they_return(self):
        """Guards against a Retry-After at which nothing is free.

        Ten times the limit asks for permits; of the callers that return when
        they were told, at least 95% must be served.
        """
        owner = Owner(5.0)
        returns = []
        claims = []
        for number in range(2000):
            claim = owner.claim(key=f"n{number}", patience_s=0.5)
            if claim.is_granted is False:
                returns.append((owner.now + claim.retry_after_s, claim.key))
            due = [r for r in returns if r[0] <= owner.now]
            returns = [r for r in returns if r[0] > owner.now]
            claims += [owner.claim(key=key, patience_s=0.5) for _, key in due]
            owner.sleep(0.02, 0.02)
        owner.sleep(1.0)
        served = sum(bool(claim.is_granted) for claim in claims)
        self.assertGreater(len(claims), 100)
        self.assertGreaterEqual(served, 0.95 * len(claims))

    def test_server_that_accepts_nothing_is_still_probed(self):
        """Guards against a limit of 0 whose end nobody can learn."""
        owner = Owner(0.0)
        owner.sleep(4.1)
        self.assertTrue(owner.claim().is_granted)
        self.assertFalse(owner.claim().is_granted)

    def test_claim_of_a_gone_caller_takes_no_permit(self):
        """Guards against permits wasted on callers that have hung up."""
        owner = Owner(1.0)
        gone = owner.claim(patience_s=2.0)
        owner.allocator.discard(gone)
        claim = owner.claim(patience_s=2.0)
        owner.sleep(1.05)
        self.assertTrue(claim.is_granted)
        self.assertIsNone(gone.is_granted)

    def test_waiting_claims_are_granted_when_the_limit_ends(self):
        """Guards against requests that wait for a limit that has ended."""
        owner = Owner(1.0)
        claims = [owner.claim(patience_s=3.0) for _ in range(3)]
        owner.allocator.release_all()
        self.assertEqual([True] * 3, [claim.is_granted for claim in claims])

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        st.sampled_from((0.3, 1.0, 5.0, 50.0)),
        st.lists(
            st.tuples(
                st.sampled_from((0.0, 0.01, 0.1, 1.0, 7.0)),
                st.integers(0, 3),
                st.sampled_from((0.0, 0.5, 2.0)),
                st.sampled_from((0.25, 0.5, 1.0)),
            ),
            max_size=60,
        ),
    )
    def test_permits_stay_within_the_limit(self, limit_per_s, steps):
        """Guards against an order of claims and rates that breaks the limit.

        The rate is a part of the limit, as an owner that reaches only some of
        the VMs grants only their part.
        """
        owner = Owner(limit_per_s)
        for pause_s, rank, patience_s, share in steps:
            owner.now += pause_s
            owner.rate_per_s = limit_per_s * share
            owner.claim(rank=rank, patience_s=patience_s)
        owner.sleep(2.0)
        self.assertLessEqual(
            worst_window(owner.granted_at),
            1.25 * limit_per_s * WINDOW_S + 2,
        )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        st.sampled_from((0.5, 1.0, 5.0, 50.0)),
        st.lists(st.sampled_from((0.3, 1.0, 2.5, 5.0)), max_size=8),
        st.integers(2, 40),
    )
    def test_changes_of_the_owner_keep_the_limit(
        self, limit_per_s, moves, load
    ):
        """Guards against owners in turn that each grant a full burst.

        Each move leaves the old owner granting for 1 s beside the new one, as
        a quarter of the limit once it sees the new one.
        """
        owners = [Owner(limit_per_s)]
        granted_at = []
        now = 0.0
        for move_s in [*moves, 4.0]:
            until = now + move_s
            overlap_until = now + min(1.0, move_s)
            while now < until:
                now += 1.0 / load
                newest = owners[-1]
                for owner in owners[-2:]:
                    if owner is not newest and now > overlap_until:
                        continue
                    owner.now = now
                    owner.rate_per_s = limit_per_s
                    if owner is not newest:
                        owner.rate_per_s *= 0.25
                    granted_at += [now] * bool(owner.claim().is_granted)
            owners.append(Owner(limit_per_s, now))
        self.assertLessEqual(
            worst_window(granted_at), 1.5 * limit_per_s * WINDOW_S + 5
        )
