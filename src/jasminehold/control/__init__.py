"""Control of one instance: loans, plans, configuration and its progress."""
