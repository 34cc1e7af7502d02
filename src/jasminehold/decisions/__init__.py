"""Decision logic without I/O, clocks or a global random source."""
