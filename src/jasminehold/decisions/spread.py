"""Along which streams news travel among the instances of a region.

In a small region all instances are linked to each other and who read the
store tells all. In a larger one the streams form a tree: the first instance of
the region tells the head of each availability zone, and within a zone each
instance tells a few others. Every instance works the tree out from the same
members by itself. While views differ, news still end: they are passed on only
by an instance that they were new to, and who hears none reads the store.
"""

from jasminehold.decisions import hashing

# Instances of a region up to which all are linked to each other; one message
# from the reader to each is then no more than a tree would send.
ALL_LINKED_MAX = 6
# Instances that one tells within its zone. At 8, a zone of 73 instances is
# reached in two steps.
FAN_OUT = 8


def order(names):
    """Return instance ids in the order in which they read for a region."""
    return sorted(names, key=lambda name: hashing.number('reader', name))


def is_tree(members):
    """Return whether the instances of a region pass news on.

    Args:
        members: ids of the region's instances.
    """
    return len(members) > ALL_LINKED_MAX


def neighbours(own, members):
    """Return the instances of the region that one is linked to.

    Args:
        own: id of the instance.
        members: ``{id: place}`` of the region's instances, its own included.

    Returns:
        Frozen set of ids. Of two instances either both have the other in
        theirs or neither has.
    """
    if not is_tree(members):
        return frozenset(members) - {own}
    ranked = order(members)
    heads = {}
    for name in ranked:
        heads.setdefault(members[name], name)
    root, place = ranked[0], members[own]
    zone = [name for name in ranked if members[name] == place]
    index = zone.index(own)
    linked = set(zone[FAN_OUT * index + 1 : FAN_OUT * (index + 1) + 1])
    if index:
        linked.add(zone[(index - 1) // FAN_OUT])
    elif own == root:
        linked.update(heads.values())
    else:
        linked.add(root)
    return frozenset(linked - {own})
