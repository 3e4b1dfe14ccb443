"""The server process of an instance."""
