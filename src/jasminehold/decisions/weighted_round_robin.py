"""Distribution of requests over weighted services."""


class SmoothWeightedRoundRobin:
    """Smooth weighted round robin.

    After any n picks each choice has been taken within one pick of its
    share, so that short spans keep the weights too.
    """

    def __init__(self):
        self._credit = {}

    def pick(self, key, choices):
        """Return the next choice.

        Args:
            key: what the turns are counted for, for example a route.
            choices: tuple of ``(name, weight)``.
        """
        if len(choices) == 1:
            return choices[0][0]
        credit = self._credit.setdefault((key, choices), {})
        total = sum(weight for _, weight in choices)
        for name, weight in choices:
            credit[name] = credit.get(name, 0) + weight
        best = max(choices, key=lambda choice: credit[choice[0]])[0]
        credit[best] -= total
        return best
