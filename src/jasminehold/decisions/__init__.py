"""Rules that decide something, free of sockets, clocks and global chance."""
