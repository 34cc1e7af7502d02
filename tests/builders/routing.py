"""Builders for the routing rules, and naive versions to compare with."""

import ipaddress

from hypothesis import strategies as st

from jasminehold.decisions import movement

PLACES = ('sul-a', 'sul-b', 'sudeste-a', 'sudeste-b', 'europa-a', 'europa-b')


def networks():
    """Strategy of IPv4 blocks, dense enough to nest often."""

    def build(parts):
        number, length = parts
        mask = (0xFFFFFFFF << (32 - length)) & 0xFFFFFFFF
        return '%s/%d' % (ipaddress.ip_address(number & mask), length)

    number = st.integers(0, 7).flatmap(
        lambda high: st.integers(0, 0xFFF).map(
            lambda low: (10 << 24) + (high << 18) + (low << 4)
        )
    )
    return st.tuples(number, st.integers(8, 32)).map(build)


def documents():
    """Strategy of ``{document: [(block, site)]}``."""
    entry = st.tuples(networks(), st.sampled_from(['s1', 's2', 's3']))
    return st.dictionaries(
        st.sampled_from(['d1', 'd2', 'd3']),
        st.lists(entry, max_size=12, unique_by=lambda pair: pair[0]),
        max_size=3,
    )


def naive_find(docs, address):
    """Longest prefix match by trying every block; the last name wins."""
    best = None
    target = ipaddress.ip_address(address)
    for name in sorted(docs):
        for text, site in docs[name]:
            network = ipaddress.ip_network(text)
            if target in network and (
                best is None or network.prefixlen >= best[0]
            ):
                best = (network.prefixlen, site)
    return None if best is None else best[1]


def shares():
    """Strategy of ``{place: share}`` with at least two places."""
    return st.dictionaries(
        st.sampled_from(PLACES), st.integers(1, 10), min_size=2
    )


def movement_spec(**changes):
    """A movement of half the traffic in steps of a tenth."""
    spec = movement.MovementSpec('m', 0.5, 0.1, 10.0, 50.0, False)
    return spec._replace(**changes)


def signals(**changes):
    """Signals of a target that copes."""
    base = movement.TargetSignals(
        True, 0.5, 0.0, 0.05, 100.0, 100.0, float('inf')
    )
    return base._replace(**changes)
