"""The gateway's network code, around the decision module `cobaltline`."""
