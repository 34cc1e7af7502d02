"""Weighted distribution of requests over services."""


class SmoothWeightedRoundRobin:
    """Smooth weighted round robin.

    After any number of picks, each choice is within one pick of its share, so
    short sequences follow the weights as well.
    """

    def __init__(self):
        self._credit = {}

    def pick(self, key, choices):
        """Return the next choice.

        Args:
            key: identifies the sequence of picks, for example a route.
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
