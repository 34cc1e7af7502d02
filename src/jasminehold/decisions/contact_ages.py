"""When each region's witnesses were last heard, directly or through others.

Ages count from when a question was sent, so delay makes them older and never
younger than the truth. The rule that uses them is ``decisions.contact_quorum``.
"""

import math

# Eight regions with three witnesses, twice over for plans being replaced.
MAX_WITNESSES = 48


class ContactAges:
    """Latest contact with each witness of each region."""

    def __init__(self):
        self._heard = {}

    def hear(self, region, witness, heard_at, plan_version):
        """Note contact.

        Args:
            region: the region.
            witness: instance id of a witness.
            heard_at: a time, on this instance's clock, not after the moment
                at which the witness had this plan version.
            plan_version: the version of the region's plan that it had.

        Returns:
            True when it was later than what was known.
        """
        key = (region, witness)
        known = self._heard.get(key)
        if known is not None and known[0] >= heard_at:
            return False
        if known is None and len(self._heard) >= MAX_WITNESSES:
            del self._heard[min(self._heard, key=self._heard.get)]
        self._heard[key] = (heard_at, plan_version)
        return True

    def take(self, ages, asked_at, now):
        """Take ages from a reply to a question sent at ``asked_at``.

        Args:
            ages: ``{region: {witness: [age_ms, plan_version]}}``. Ages count
                back from when the question was received; an age below 0
                means contact while the question was held.
            asked_at: when the question was sent.
            now: current time.

        Returns:
            ``[(region, witness, heard_at, plan_version)]`` of those that
            were later than what was known.

        Raises:
            ValueError: when the ages are malformed.
        """
        fresh = []
        for region, witnesses in ages.items():
            for witness, (age_ms, version) in witnesses.items():
                if not isinstance(version, int) or not isinstance(age_ms, int):
                    raise ValueError('malformed contact age')
                heard_at = min(asked_at - age_ms / 1000, now)
                if self.hear(region, witness, heard_at, version):
                    fresh.append((region, witness, heard_at, version))
        return fresh

    def report(self, received_at, now, limit_s, majority=False):
        """Return the ages to tell in reply to a question.

        Args:
            received_at: when the question was received.
            now: current time.
            limit_s: older contact is left out.
            majority: whether to tell only the latest majority of those
                heard of each region. Leaving some out is the same as not
                having heard them, so it is safe, and it saves a third of
                the bytes.
        """
        result = {}
        for (region, witness), (at, version) in self._heard.items():
            if now - at <= limit_s:
                age_ms = math.ceil((received_at - at) * 1000)
                result.setdefault(region, {})[witness] = [age_ms, version]
        if majority:
            for region, witnesses in result.items():
                latest = sorted(witnesses, key=witnesses.get)
                result[region] = {
                    key: witnesses[key]
                    for key in latest[: len(latest) // 2 + 1]
                }
        return result
