"""Members of a cluster: which changes are safe, and the fingerprint of the initial members."""

from ploverspoke.consensus.membership import Member, Members, differ_by_at_most_one_voter, fingerprint

MEMBERS: Members = {f"{name}.1": Member(name, "", "", votes=True) for name in ("a", "b", "c")}


def test_only_one_voter_may_change_at_a_time() -> None:
    with_learner: Members = {**MEMBERS, "d.1": Member("d", "", "", votes=False)}
    with_voter: Members = {**MEMBERS, "d.1": Member("d", "", "", votes=True)}
    assert differ_by_at_most_one_voter(MEMBERS, with_learner) and differ_by_at_most_one_voter(
        with_learner, with_voter
    )
    assert not differ_by_at_most_one_voter(MEMBERS, {"a.1": MEMBERS["a.1"]})
    two_members = {replica_id: MEMBERS[replica_id] for replica_id in ("a.1", "b.1")}
    assert fingerprint("x", MEMBERS) != fingerprint("x", two_members)
