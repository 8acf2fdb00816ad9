"""Inner protocol between vanillapitch daemons."""
