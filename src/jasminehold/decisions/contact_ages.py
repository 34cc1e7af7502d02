"""Last contact with each region's witnesses, direct or relayed by peers.

Ages count from the time at which the request was sent, so network delay can
only make them too high. :mod:`decisions.contact_quorum` uses them.
"""

import math

# Three witnesses in each of eight regions, doubled for plan replacements.
MAX_ENTRIES = 48


class ContactAges:
    """Latest contact with each witness of each region."""

    def __init__(self):
        self._last_contact = {}

    def record(self, region, witness, heard_at, plan_version):
        """Record contact with a witness.

        Args:
            region: the region.
            witness: instance id of a witness.
            heard_at: time on this instance's clock, not later than the time
                at which the witness had this plan version.
            plan_version: version of the region's plan at the witness.

        Returns:
            True when it is later than the recorded contact.
        """
        key = (region, witness)
        known = self._last_contact.get(key)
        if known is not None and known[0] >= heard_at:
            return False
        if known is None and len(self._last_contact) >= MAX_ENTRIES:
            del self._last_contact[
                min(self._last_contact, key=self._last_contact.get)
            ]
        self._last_contact[key] = (heard_at, plan_version)
        return True

    def merge(self, ages, sent_at, now):
        """Merge the contact ages of a reply.

        Args:
            ages: ``{region: {witness: [age_ms, plan_version]}}``. Ages count
                back from the receipt of the request; a negative age means
                contact while the reply was delayed.
            sent_at: when the request was sent.
            now: current time.

        Returns:
            ``[(region, witness, heard_at, plan_version)]`` of contacts
            that are later than the recorded ones.

        Raises:
            ValueError: when the ages are malformed.
        """
        newer = []
        for region, witnesses in ages.items():
            for witness, (age_ms, version) in witnesses.items():
                if not isinstance(version, int) or not isinstance(age_ms, int):
                    raise ValueError('malformed contact age')
                heard_at = min(sent_at - age_ms / 1000, now)
                if self.record(region, witness, heard_at, version):
                    newer.append((region, witness, heard_at, version))
        return newer

    def report(self, received_at, now, limit_s, majority_only=False):
        """Return the contact ages to send in a reply.

        Args:
            received_at: when the request was received.
            now: current time.
            limit_s: older contacts are omitted.
            majority_only: whether to send only the newest contacts of each
                region, as many as are a majority of those known. Omitted
                contacts count as missing, which is safe, and the message is
                a third smaller.
        """
        result = {}
        for (region, witness), (at, version) in self._last_contact.items():
            if now - at <= limit_s:
                age_ms = math.ceil((received_at - at) * 1000)
                result.setdefault(region, {})[witness] = [age_ms, version]
        if majority_only:
            for region, witnesses in result.items():
                latest = sorted(witnesses, key=witnesses.get)
                result[region] = {
                    key: witnesses[key]
                    for key in latest[: len(latest) // 2 + 1]
                }
        return result
