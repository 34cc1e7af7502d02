"""Entry point of ``python -m jasminehold``."""

import sys

from jasminehold import cli

if __name__ == '__main__':
    sys.exit(cli.main())
